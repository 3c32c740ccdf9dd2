// Coroutine, timer and socket types of the program. Each io_context has one
// thread. The types name the io_context's executor because Asio's default,
// any_io_executor, copies a type-erased executor for every operation.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

namespace hornbeamspool::http {

using Executor = boost::asio::io_context::executor_type;

// A coroutine that returns T.
template <typename T>
using Task = boost::asio::awaitable<T, Executor>;

// Completion token for the asynchronous operations that a Task awaits.
inline constexpr boost::asio::use_awaitable_t<Executor> kAwait{};

using Timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>, Executor>;
using TcpSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor>;
using TcpAcceptor =
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;
using UdpSocket =
    boost::asio::basic_datagram_socket<boost::asio::ip::udp, Executor>;

}  // namespace hornbeamspool::http
