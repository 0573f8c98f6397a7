#include "poplartrack/http/HttpClient.h"

#include <algorithm>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <curl/curl.h>

#include "HttpTransfer.h"

namespace poplartrack {
namespace {

/** libcurl's own timers and curl_multi_wakeup end a poll earlier. */
constexpr int kPollMillis = 60'000;

/** A reply of the largest size alone must have room, in a buffer that doubles
 * when it grows. */
std::size_t
mostHeld(const HttpClientLimits& aLimits)
{
  return std::max(aLimits.maxHeldBytes, 2 * aLimits.maxBodyBytes);
}

bool
initLibcurl()
{
  static const CURLcode kState = curl_global_init(CURL_GLOBAL_DEFAULT);
  return kState == CURLE_OK;
}

} // namespace

class HttpClient::Impl
{
public:
  Impl(CURLM* aMulti, HttpClientLimits aLimits)
    : multi(aMulti)
    , limits(aLimits)
    , heldReplies(mostHeld(aLimits))
    , thread([this] { this->run(); })
  {
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl();

  void send(HttpCall aCall, HttpDone aDone);

private:
  using TransferPtr = std::unique_ptr<HttpTransfer>;

  bool enqueue(TransferPtr& aTransfer);
  void run();
  bool takeNewCalls();
  void begin(TransferPtr aTransfer);
  void endFinished();
  void endAll();

  CURLM* multi;
  HttpClientLimits limits;
  std::mutex mutex;
  std::vector<TransferPtr> incoming;
  bool stopping = false;
  // Touched only by the client's thread.
  HeldReplies heldReplies;
  std::unordered_map<HttpTransfer*, TransferPtr> open;
  std::thread thread;
};

HttpClient::Impl::~Impl()
{
  {
    const std::scoped_lock lock{ this->mutex };
    this->stopping = true;
  }
  curl_multi_wakeup(this->multi);
  this->thread.join();
  curl_multi_cleanup(this->multi);
}

void
HttpClient::Impl::send(HttpCall aCall, HttpDone aDone)
{
  auto transfer = std::make_unique<HttpTransfer>(std::move(aCall),
                                                 std::move(aDone),
                                                 this->limits.maxBodyBytes,
                                                 this->heldReplies);
  if (this->enqueue(transfer)) {
    curl_multi_wakeup(this->multi);
    return;
  }
  // Made by an HttpDone while the client closes.
  transfer->end(CallOutcome::NotSent, "the client is closing");
}

bool
HttpClient::Impl::enqueue(TransferPtr& aTransfer)
{
  const std::scoped_lock lock{ this->mutex };
  if (this->stopping) {
    return false;
  }
  this->incoming.push_back(std::move(aTransfer));
  return true;
}

void
HttpClient::Impl::run()
{
  while (this->takeNewCalls()) {
    int running = 0;
    curl_multi_perform(this->multi, &running);
    this->endFinished();
    curl_multi_poll(this->multi, nullptr, 0, kPollMillis, nullptr);
  }
  this->endAll();
}

bool
HttpClient::Impl::takeNewCalls()
{
  std::vector<TransferPtr> fresh;
  {
    const std::scoped_lock lock{ this->mutex };
    if (this->stopping) {
      return false;
    }
    fresh.swap(this->incoming);
  }
  for (TransferPtr& transfer : fresh) {
    this->begin(std::move(transfer));
  }
  return true;
}

void
HttpClient::Impl::begin(TransferPtr aTransfer)
{
  if (!aTransfer->prepare()) {
    aTransfer->end(CallOutcome::NotSent, aTransfer->refusal());
    return;
  }
  const CURLMcode added =
    curl_multi_add_handle(this->multi, aTransfer->handle());
  if (added != CURLM_OK) {
    aTransfer->end(CallOutcome::NotSent, curl_multi_strerror(added));
    return;
  }
  HttpTransfer* key = aTransfer.get();
  this->open.emplace(key, std::move(aTransfer));
}

void
HttpClient::Impl::endFinished()
{
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    CURL* easy = message->easy_handle;
    const auto found = this->open.find(HttpTransfer::of(easy));
    const TransferPtr transfer = std::move(found->second);
    this->open.erase(found);
    curl_multi_remove_handle(this->multi, easy);
    transfer->end(code);
  }
}

void
HttpClient::Impl::endAll()
{
  for (auto& [key, transfer] : this->open) {
    curl_multi_remove_handle(this->multi, transfer->handle());
    transfer->end(CallOutcome::Unknown, "the client is closing");
  }
  this->open.clear();
  std::vector<TransferPtr> left;
  {
    const std::scoped_lock lock{ this->mutex };
    left.swap(this->incoming);
  }
  for (const TransferPtr& transfer : left) {
    transfer->end(CallOutcome::Unknown, "the client is closing");
  }
}

HttpClient::HttpClient(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

HttpClient::~HttpClient() = default;

Result<std::unique_ptr<HttpClient>>
HttpClient::create(HttpClientLimits aLimits)
{
  if (!initLibcurl()) {
    return fail(ErrorKind::Internal, "libcurl does not start");
  }
  CURLM* multi = curl_multi_init();
  if (multi == nullptr) {
    return fail(ErrorKind::Internal, "libcurl gives no multi handle");
  }
  const auto total = static_cast<long>(aLimits.maxConnections);
  curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, total);
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, total);
  curl_multi_setopt(multi,
                    CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(aLimits.maxConnectionsPerHost));
  auto impl = std::make_unique<Impl>(multi, aLimits);
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(impl)));
}

void
HttpClient::send(HttpCall aCall, HttpDone aDone)
{
  this->impl->send(std::move(aCall), std::move(aDone));
}

HttpResult
HttpClient::sendAndWait(HttpCall aCall)
{
  // Shared: the client's thread may still be inside set_value when the waiting
  // thread has the value and returns.
  const auto promise = std::make_shared<std::promise<HttpResult>>();
  std::future<HttpResult> result = promise->get_future();
  this->send(std::move(aCall), [promise](HttpResult aResult) {
    promise->set_value(std::move(aResult));
  });
  return result.get();
}

} // namespace poplartrack
