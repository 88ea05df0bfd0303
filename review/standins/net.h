#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Blocking sockets and the part of HTTP/1.1 that the stand-ins need. One thread per connection.

namespace bluebellpass::review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// A TCP socket, closed on destruction.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : m_descriptor(descriptor) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : m_descriptor(std::exchange(other.m_descriptor, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool IsOpen() const { return m_descriptor >= 0; }
  int Descriptor() const { return m_descriptor; }
  void Close();
  /// Ends reading and writing, which wakes a thread that is blocked on the socket.
  void Shutdown() const;
  bool SendAll(const std::string& bytes) const;
  /// @return number of bytes, 0 at the end of the stream, or -1 after an error or the timeout
  ssize_t Receive(char* buffer, std::size_t size, Millis timeout) const;

 private:
  int m_descriptor = -1;
};

/// Properties of a client's link; 0 stands for the default of the loopback device.
struct LinkOptions {
  int segment_bytes = 0;  ///< of a TCP segment
  int window_bytes = 0;   ///< of the receive buffer
  double bytes_per_s = 0;
};

/// @return a closed socket if no connection was established within a second
Socket Connect(const std::string& ip, int port, const LinkOptions& link = {});

/// @return a port that is free on all of the addresses, followed by `count - 1` free ones
int FindFreePorts(const std::vector<std::string>& ips, int count);

struct HttpMessage {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /// @return the value of a field, or an empty string
  std::string Value(const std::string& name) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

enum class ReadResult { kComplete, kClosed, kReset, kTimeout };

/// Reads HTTP messages from a socket.
class MessageReader {
 public:
  /// @param bytes_per_s speed of the link; 0 for no limit
  explicit MessageReader(const Socket& socket, double bytes_per_s = 0)
      : m_socket(socket), m_bytes_per_s(bytes_per_s) {}
  /// @param message holds what was received, also if the message is not complete
  ReadResult Read(HttpMessage& message, bool is_response, Clock::time_point deadline);

 private:
  ReadResult Fill(Clock::time_point deadline);
  ReadResult ReadHead(HttpMessage& message, Clock::time_point deadline);
  ReadResult ReadBody(std::string& body, std::size_t size, Clock::time_point deadline);
  ReadResult ReadChunks(std::string& body, Clock::time_point deadline);
  ReadResult ReadLine(std::string& line, Clock::time_point deadline);

  const Socket& m_socket;
  double m_bytes_per_s;
  std::string m_buffer;
};

std::string SerializeHttp(const std::string& first_line,
                          const std::vector<std::pair<std::string, std::string>>& fields,
                          const std::string& body);

/// Accepts connections and passes their requests to a handler, which answers on the socket.
class HttpServer {
 public:
  /// @return false if the connection must be closed
  using Handler = std::function<bool(const HttpMessage& request, const Socket& socket)>;

  HttpServer(const std::string& ip, int port, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  bool IsListening() const { return m_listener.IsOpen(); }

 private:
  void Accept();
  void Serve(const Socket& socket);

  Handler m_handler;
  Socket m_listener;
  std::atomic<bool> m_is_stopping{false};
  std::mutex m_mutex;
  std::list<Socket> m_connections;
  std::list<std::thread> m_threads;
  std::thread m_acceptor;
};

}  // namespace bluebellpass::review
