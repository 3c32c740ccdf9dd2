// Limits of what the HTTP parser gets of a message's chunked body.
#pragma once

#include <cstddef>

namespace hornbeamspool::http {

// The shortest chunked body: "0\r\n\r\n".
constexpr std::size_t kMinChunkedBodyBytes = 5;

// Limit of the bytes received without a byte of content. Sizes of chunks and
// trailers are short, so a peer that sends more is not sending a valid message.
constexpr std::size_t kMaxFramingBytes = 16 * 1024;

// Whether `parser`, which has read the head, may get the `buffered` bytes.
// `begun`: it has got bytes of the body before. Beast's parser asserts that a
// last chunk that was incomplete has 5 bytes when it goes on, which holds for a
// body without other chunks only if it began with as many.
template <typename Parser>
bool MayParseBody(const Parser& parser, std::size_t buffered, bool begun) {
  return begun || !parser.chunked() || buffered >= kMinChunkedBodyBytes;
}

}  // namespace hornbeamspool::http
