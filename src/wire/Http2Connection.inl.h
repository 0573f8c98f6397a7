#pragma once

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "Http2Connection.h"

namespace poplartrack {
namespace http2 {

/** Bytes read from a socket at once. */
constexpr std::size_t kReadBytes = 64U << 10U;
/** Maximum number of reads from one socket before others are read. */
constexpr int kReadsPerTurn = 16;
/** Serialized bytes that may wait for a socket before more are produced. */
constexpr std::size_t kOutputBytes = 256U << 10U;
/** Payload of one DATA frame: large enough for little overhead, small enough
 * that a large body does not delay the small ones on the same connection. */
constexpr std::uint32_t kDataBytes = 64U << 10U;
/** Window of a whole connection. */
constexpr std::int32_t kConnectionWindow = 16 << 20;
/** Size of a stream's window beyond the largest frame, so that a frame above
 * the limit is detected instead of stalling. */
constexpr std::size_t kWindowSlack = 64U << 10U;

template<std::size_t NameSize, std::size_t ValueSize>
nghttp2_nv
header(const char (&aName)[NameSize], const char (&aValue)[ValueSize])
{
  constexpr std::uint8_t kNoCopy =
    NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_COPY_VALUE;
  // nghttp2 has non-const parameters but does not write through them.
  return nghttp2_nv{ reinterpret_cast<std::uint8_t*>(const_cast<char*>(aName)),
                     reinterpret_cast<std::uint8_t*>(const_cast<char*>(aValue)),
                     NameSize - 1,
                     ValueSize - 1,
                     kNoCopy };
}

/** Streams a second that a peer may reset. Callers reset calls that have timed
 * out. With the library's own limit of 33 a second, an overload would close the
 * whole connection with all its other calls. */
constexpr std::uint64_t kResetsPerSecond = 10'000;

/** The static callbacks by which nghttp2 calls an owner. */
template<typename Owner>
struct Callbacks
{
  static Owner& of(void* aOwner) { return *static_cast<Owner*>(aOwner); }

  static int onBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* aFrame,
                            void* aOwner)
  {
    if (aFrame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      of(aOwner).onOpen(aFrame->hd.stream_id);
    }
    return 0;
  }

  static int onHeader(nghttp2_session*,
                      const nghttp2_frame* aFrame,
                      const std::uint8_t* aName,
                      std::size_t aNameSize,
                      const std::uint8_t* aValue,
                      std::size_t aValueSize,
                      std::uint8_t,
                      void* aOwner)
  {
    const std::string_view name{ reinterpret_cast<const char*>(aName),
                                 aNameSize };
    if (name == ":status") {
      of(aOwner).onStatus(
        aFrame->hd.stream_id,
        { reinterpret_cast<const char*>(aValue), aValueSize });
    }
    return 0;
  }

  static int onDataChunk(nghttp2_session*,
                         std::uint8_t,
                         std::int32_t aStream,
                         const std::uint8_t* aData,
                         std::size_t aSize,
                         void* aOwner)
  {
    of(aOwner).onData(aStream, { reinterpret_cast<const char*>(aData), aSize });
    return 0;
  }

  static int onFrame(nghttp2_session*,
                     const nghttp2_frame* aFrame,
                     void* aOwner)
  {
    const std::uint8_t type = aFrame->hd.type;
    const bool isAck = (aFrame->hd.flags & NGHTTP2_FLAG_ACK) != 0;
    if (type == NGHTTP2_SETTINGS && !isAck) {
      of(aOwner).onSettings();
    }
    if (type == NGHTTP2_GOAWAY) {
      of(aOwner).onGoAway();
    }
    const bool carriesEnd = type == NGHTTP2_DATA || type == NGHTTP2_HEADERS;
    if (carriesEnd && (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      of(aOwner).onEnd(aFrame->hd.stream_id);
    }
    return 0;
  }

  static int onStreamClose(nghttp2_session*,
                           std::int32_t aStream,
                           std::uint32_t aCode,
                           void* aOwner)
  {
    of(aOwner).onClose(aStream, aCode);
    return 0;
  }

  static ssize_t readBody(nghttp2_session*,
                          std::int32_t aStream,
                          std::uint8_t* aBuffer,
                          std::size_t aSize,
                          std::uint32_t* aFlags,
                          nghttp2_data_source*,
                          void* aOwner)
  {
    return of(aOwner).readBody(aStream, { aBuffer, aSize }, *aFlags);
  }

  static ssize_t dataFrameBytes(nghttp2_session*,
                                std::uint8_t,
                                std::int32_t,
                                std::int32_t aSessionWindow,
                                std::int32_t aStreamWindow,
                                std::uint32_t aPeerMaximum,
                                void*)
  {
    const std::int32_t window = std::min(aSessionWindow, aStreamWindow);
    const std::uint32_t most = std::min(aPeerMaximum, kDataBytes);
    return std::min<ssize_t>(window, most);
  }
};

} // namespace http2

template<typename Owner>
Http2Connection<Owner>::Http2Connection(Owner& aOwner, OwnedFd aFd)
  : owner(aOwner)
  , socket(std::move(aFd))
{
  static_assert(Http2Owner<Owner>);
}

template<typename Owner>
Http2Connection<Owner>::~Http2Connection()
{
  nghttp2_session_del(this->session);
}

template<typename Owner>
nghttp2_session_callbacks*
Http2Connection<Owner>::makeCallbacks()
{
  using Calls = http2::Callbacks<Owner>;
  nghttp2_session_callbacks* made = nullptr;
  if (nghttp2_session_callbacks_new(&made) != 0) {
    return nullptr;
  }
  nghttp2_session_callbacks_set_on_begin_headers_callback(
    made, Calls::onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(made, Calls::onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(made,
                                                            Calls::onDataChunk);
  nghttp2_session_callbacks_set_on_frame_recv_callback(made, Calls::onFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(made,
                                                         Calls::onStreamClose);
  nghttp2_session_callbacks_set_data_source_read_length_callback(
    made, Calls::dataFrameBytes);
  return made;
}

template<typename Owner>
bool
Http2Connection<Owner>::open(Http2Role aRole, const Http2Bounds& aBounds)
{
  nghttp2_session_callbacks* callbacks = makeCallbacks();
  nghttp2_option* option = nullptr;
  if (callbacks == nullptr || nghttp2_option_new(&option) != 0) {
    nghttp2_session_callbacks_del(callbacks);
    return false;
  }
  // Closed streams are kept only for priorities, which are not used here.
  nghttp2_option_set_no_closed_streams(option, 1);
  nghttp2_option_set_stream_reset_rate_limit(
    option, http2::kResetsPerSecond, http2::kResetsPerSecond);
  const auto create = aRole == Http2Role::Client ? nghttp2_session_client_new2
                                                 : nghttp2_session_server_new2;
  const int created = create(&this->session, callbacks, &this->owner, option);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  if (created != 0) {
    return false;
  }
  const auto window =
    static_cast<std::uint32_t>(aBounds.maxFrameBytes + http2::kWindowSlack);
  const auto maxStreams = static_cast<std::uint32_t>(aBounds.maxStreams);
  const std::array<nghttp2_settings_entry, 4> settings{ {
    { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window },
    { NGHTTP2_SETTINGS_MAX_FRAME_SIZE, http2::kDataBytes },
  } };
  return nghttp2_submit_settings(this->session,
                                 NGHTTP2_FLAG_NONE,
                                 settings.data(),
                                 settings.size()) == 0 &&
         nghttp2_session_set_local_window_size(
           this->session, NGHTTP2_FLAG_NONE, 0, http2::kConnectionWindow) == 0;
}

template<typename Owner>
std::int32_t
Http2Connection<Owner>::submitCall()
{
  const std::array<nghttp2_nv, 4> headers{
    http2::header(":method", "POST"),
    http2::header(":scheme", "http"),
    http2::header(":authority", "poplartrack"),
    http2::header(":path", "/"),
  };
  nghttp2_data_provider body{};
  body.read_callback = http2::Callbacks<Owner>::readBody;
  return nghttp2_submit_request(
    this->session, nullptr, headers.data(), headers.size(), &body, nullptr);
}

template<typename Owner>
bool
Http2Connection<Owner>::submitReply(std::int32_t aStream)
{
  const std::array<nghttp2_nv, 1> headers{ http2::header(":status", "200") };
  nghttp2_data_provider body{};
  body.read_callback = http2::Callbacks<Owner>::readBody;
  return nghttp2_submit_response(
           this->session, aStream, headers.data(), headers.size(), &body) == 0;
}

template<typename Owner>
void
Http2Connection<Owner>::reset(std::int32_t aStream, std::uint32_t aCode)
{
  nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, aStream, aCode);
}

template<typename Owner>
void
Http2Connection<Owner>::goAway()
{
  nghttp2_submit_goaway(this->session,
                        NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(this->session),
                        NGHTTP2_NO_ERROR,
                        nullptr,
                        0);
}

template<typename Owner>
void
Http2Connection<Owner>::ping()
{
  nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, nullptr);
}

template<typename Owner>
bool
Http2Connection<Owner>::receive()
{
  thread_local std::array<std::uint8_t, http2::kReadBytes> buffer;
  for (int turn = 0; turn < http2::kReadsPerTurn; ++turn) {
    const ssize_t got =
      ::recv(this->socket.get(), buffer.data(), buffer.size(), 0);
    if (got < 0 && errno == EINTR) {
      continue;
    }
    if (got < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    if (got == 0) {
      return false;
    }
    const auto size = static_cast<std::size_t>(got);
    if (nghttp2_session_mem_recv(this->session, buffer.data(), size) < 0) {
      return false;
    }
    if (size < buffer.size()) {
      return true;
    }
  }
  return true;
}

template<typename Owner>
bool
Http2Connection<Owner>::fillOutput()
{
  while (this->output.pending() < http2::kOutputBytes) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t size = nghttp2_session_mem_send(this->session, &bytes);
    if (size < 0) {
      return false;
    }
    if (size == 0) {
      return true;
    }
    this->output.append(
      { reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size) });
  }
  return true;
}

template<typename Owner>
bool
Http2Connection<Owner>::transmit()
{
  while (true) {
    if (!this->fillOutput()) {
      return false;
    }
    if (this->output.pending() == 0) {
      return true;
    }
    const SendBuffer::State state = this->output.flush(this->socket.get());
    if (state != SendBuffer::State::Empty) {
      return state == SendBuffer::State::Blocked;
    }
  }
}

template<typename Owner>
bool
Http2Connection<Owner>::finished() const
{
  return nghttp2_session_want_read(this->session) == 0 &&
         nghttp2_session_want_write(this->session) == 0 && !this->blocked();
}

} // namespace poplartrack
