// Compiles the non-header-only parts of Asio and Beast, once for the program.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
