#include "switchsaddle/http/client.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "client_exchange.h"

namespace switchsaddle::http {

namespace {

/** Collects the response of Client::fetch(). */
class ResponseCollector : public ExchangeObserver {
 public:
  using Callback = std::function<void(const Response*, ExchangeFailure)>;

  ResponseCollector(std::size_t limit_bytes, Callback callback)
      : limit_bytes_(limit_bytes), callback_(std::move(callback)) {}

  void setExchange(std::weak_ptr<Exchange> exchange) { exchange_ = std::move(exchange); }

  void onResponseHead(const Response& head) override { response_ = head; }
  void onBodyBytes(std::string bytes, std::function<void()> resume) override {
    if (response_.body.size() + bytes.size() <= limit_bytes_) {
      response_.body += bytes;
      resume();
      return;
    }
    if (const auto exchange = exchange_.lock()) {
      exchange->cancel();
    }
    callback_(nullptr, ExchangeFailure::BodyTruncated);
  }
  void onComplete() override { callback_(&response_, ExchangeFailure::NoResponse); }
  void onFailure(ExchangeFailure failure, bool /*refused*/) override {
    callback_(nullptr, failure);
  }

 private:
  std::size_t limit_bytes_;
  Callback callback_;
  std::weak_ptr<Exchange> exchange_;
  Response response_;
};

class ClientImplementation : public Client {
 public:
  ClientImplementation(boost::asio::io_context& context, std::size_t idle_connections)
      : state_(std::make_shared<ClientState>(
            ClientState{boost::asio::make_strand(context), ClientPool(idle_connections), {}})) {}

  std::shared_ptr<Exchange> start(const base::NodeAddress& address, Request request,
                                  const ExchangeOptions& options,
                                  std::shared_ptr<ExchangeObserver> observer) override {
    auto exchange = std::make_shared<ClientExchange>(state_, address, std::move(request), options,
                                                     std::move(observer));
    boost::asio::post(state_->strand, [exchange] { exchange->start(); });
    return exchange;
  }

  void fetch(const base::NodeAddress& address, Request request, const ExchangeOptions& options,
             std::function<void(const Response*, ExchangeFailure)> callback) override {
    auto collector =
        std::make_shared<ResponseCollector>(options.fetch_limit_bytes, std::move(callback));
    collector->setExchange(start(address, std::move(request), options, collector));
  }

 private:
  std::shared_ptr<ClientState> state_;
};

}  // namespace

std::unique_ptr<Client> createClient(boost::asio::io_context& context,
                                     std::size_t idle_connections) {
  return std::make_unique<ClientImplementation>(context, idle_connections);
}

}  // namespace switchsaddle::http
