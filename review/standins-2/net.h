#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using TimePoint = Clock::time_point;

/// An open file descriptor.
class Descriptor {
 public:
  explicit Descriptor(int fd = -1) : m_fd(fd) {}
  ~Descriptor() { Close(); }
  Descriptor(Descriptor&& other) noexcept : m_fd(std::exchange(other.m_fd, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int Get() const { return m_fd; }
  bool IsOpen() const { return m_fd >= 0; }
  void Close();

 private:
  int m_fd;
};

struct Address {
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// Options of a client's socket.
struct SocketOptions {
  int receive_buffer_bytes = 0;  ///< 0: the system's default
  int segment_bytes = 0;         ///< largest TCP segment; 0: that of the loopback interface
};

/// @param address where to listen; port 0 selects a free port, which is stored
/// @return a listening socket
Descriptor Listen(Address& address);
/// @return a connected socket, or none after a failure
Descriptor Connect(const Address& address, Millis timeout, const SocketOptions& options = {});
/// @return a port of an address that no socket uses now
std::uint16_t FindFreePort(const std::string& ip);
bool SendAll(int fd, std::string_view bytes);

/// A request or response of HTTP/1.1.
struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /// @return the value of a field, or an empty text
  std::string Field(std::string_view name) const;
  bool Has(std::string_view name) const;
  int Status() const;
  /// @return the words of a request line
  std::string Method() const;
  std::string Target() const;
};

std::string ToText(const Message& message);
Message MakeResponse(int status, std::string body);

/// Reads messages from a connection.
class MessageReader {
 public:
  explicit MessageReader(int fd) : m_fd(fd) {}

  /// Limits the rate at which bytes are taken from the connection.
  void SetBytesPerSecond(std::size_t rate) { m_bytes_per_s = rate; }
  /// @return a complete message, or nullopt if the connection ended or the time ran out before
  std::optional<Message> Read(TimePoint until);
  /// @return number of body bytes of the last message, complete or not
  std::size_t BodyBytes() const { return m_body_bytes; }
  /// @return true if any byte of the last message was received
  bool HasReceived() const { return m_has_received; }
  /// @return how the last read ended
  const std::string& End() const { return m_end; }

 private:
  bool Fill(TimePoint until);
  bool ReadHead(Message& message, TimePoint until);
  bool ReadExactly(std::string& body, std::size_t size, TimePoint until);
  bool ReadChunks(std::string& body, TimePoint until);

  int m_fd;
  std::size_t m_bytes_per_s = 0;
  std::string m_buffer;
  std::size_t m_body_bytes = 0;
  bool m_has_received = false;
  std::string m_end;
};

/// Lines of record.txt, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Add(const std::string& line);
  double Seconds(TimePoint time) const {
    return std::chrono::duration<double>(time - m_start).count();
  }

 private:
  std::mutex m_mutex;
  TimePoint m_start = Clock::now();
  int m_fd;
};

}  // namespace review
