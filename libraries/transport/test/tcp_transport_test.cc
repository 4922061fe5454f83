#include "switchsaddle/transport/tcp_transport.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <stdexcept>

#include "recording_receiver.h"
#include "switchsaddle/base/error.h"
#include "transport_harness.h"

namespace switchsaddle::transport {
namespace {

using boost::asio::ip::tcp;

class TcpTransportTest : public testing::Test {
 protected:
  std::unique_ptr<TcpTransport> make(const std::string& ip,
                                     const TcpTransportOptions& options = {}) {
    return std::make_unique<TcpTransport>(context, dispatcher, base::NodeAddress{ip, 0}, options);
  }
  bool runUntil(const std::function<bool()>& condition) {
    return runContextUntil(context, condition);
  }
  tcp::socket connectRaw(const TcpTransport& transport) {
    tcp::socket socket(context);
    const base::NodeAddress& address = transport.localAddress();
    socket.connect({boost::asio::ip::make_address(address.ip), address.port});
    return socket;
  }
  /** Runs until the transport has closed the socket. */
  bool closedByPeer(tcp::socket& socket) {
    bool closed = false;
    char byte = 0;
    socket.async_read_some(boost::asio::buffer(&byte, 1),
                           [&](const boost::system::error_code& error, std::size_t) {
                             closed = static_cast<bool>(error);
                           });
    return runUntil([&] { return closed; });
  }
  static std::string frame(const std::string& bytes) {
    std::string out;
    for (unsigned shift = 32; shift > 0; shift -= 8) {
      out.push_back(static_cast<char>((bytes.size() >> (shift - 8)) & 0xffU));
    }
    return out + bytes;
  }

  boost::asio::io_context context;
  AsioDispatcher dispatcher{context};
  RecordingReceiver receiver;
};

TEST_F(TcpTransportTest, DropsTheOldestFramesOfAFullQueue) {
  TcpTransportOptions options;
  options.queue_bytes = 1U << 20U;
  const auto sender = make("127.0.2.1", options);
  const auto target = make("127.0.2.2");
  target->setReceiver(&receiver);
  constexpr std::uint64_t Count = 100;
  for (std::uint64_t number = 0; number < Count; ++number) {
    sender->send(target->localAddress(), numbered(*sender, number, std::string(64U << 10U, 'x')));
  }
  ASSERT_TRUE(runUntil([&] {
    return !receiver.envelopes.empty() && receiver.envelopes.back().request_id == Count - 1;
  }));
  EXPECT_EQ(receiver.envelopes.size() + sender->counters().frames_dropped, Count);
  EXPECT_EQ(receiver.envelopes.front().request_id, Count - receiver.envelopes.size());
  EXPECT_EQ(receiver.envelopes.size(), 15U);
}

TEST_F(TcpTransportTest, LimitsTheQueueOfAPeerThatDoesNotRead) {
  TcpTransportOptions options;
  options.queue_bytes = 1U << 20U;
  const auto sender = make("127.0.2.1", options);
  tcp::acceptor unresponsive(context, {boost::asio::ip::make_address("127.0.2.3"), 0});
  const base::NodeAddress peer{"127.0.2.3", unresponsive.local_endpoint().port()};
  std::uint64_t number = 0;
  EXPECT_TRUE(runUntil([&] {
    sender->send(peer, numbered(*sender, ++number, std::string(256U << 10U, 'x')));
    return sender->counters().frames_dropped > 100;
  }));
}

class SendBudgetTest : public TcpTransportTest {
 protected:
  static constexpr std::size_t FrameBytes = 64U << 10U;
  static constexpr std::size_t BudgetBytes = 4U << 20U;

  SendBudgetTest() {
    TcpTransportOptions options;
    options.send_bytes = BudgetBytes;
    sender_ = make("127.0.2.1", options);
    for (std::uint8_t number = 0; number < 20; ++number) {
      unresponsive_.emplace_back(context,
                                 tcp::endpoint{boost::asio::ip::make_address("127.0.2.3"), 0});
    }
  }
  static base::NodeAddress addressOf(const tcp::acceptor& acceptor) {
    return {acceptor.local_endpoint().address().to_string(), acceptor.local_endpoint().port()};
  }
  void send(const tcp::acceptor& to, std::size_t bytes) {
    sender_->send(addressOf(to), numbered(*sender_, 0, std::string(bytes, 'x')));
  }

  std::vector<tcp::acceptor> unresponsive_;
  std::unique_ptr<TcpTransport> sender_;
};

TEST_F(SendBudgetTest, TheQueuesOfAllDestinationsTogetherAreBounded) {
  constexpr std::uint64_t FramesOfEach = 10;
  for (std::uint64_t frame = 0; frame < FramesOfEach; ++frame) {
    for (const tcp::acceptor& peer : unresponsive_) {
      send(peer, FrameBytes);
    }
  }
  const std::uint64_t sent = FramesOfEach * unresponsive_.size();
  EXPECT_GE(sender_->counters().frames_dropped, sent - BudgetBytes / FrameBytes);
  EXPECT_LT(sender_->counters().frames_dropped, sent);
}

TEST_F(SendBudgetTest, AFullBudgetCostsTheLongestQueueItsOldestFrames) {
  const auto target = make("127.0.2.2");
  target->setReceiver(&receiver);
  sender_->send(target->localAddress(), numbered(*sender_, 1, "short"));
  for (std::size_t sent = 0; sent < 2 * BudgetBytes; sent += FrameBytes) {
    send(unresponsive_.front(), FrameBytes);
  }
  sender_->send(target->localAddress(), numbered(*sender_, 2, std::string(FrameBytes, 'y')));
  ASSERT_TRUE(runUntil([&] { return receiver.envelopes.size() == 2; }));
  EXPECT_EQ(receiver.envelopes.front().request_id, 1U);
}

TEST_F(SendBudgetTest, AFrameForManyDestinationsCountsOnce) {
  std::vector<base::NodeAddress> peers;
  for (const tcp::acceptor& peer : unresponsive_) {
    peers.push_back(addressOf(peer));
  }
  sender_->sendToAll(peers, numbered(*sender_, 0, std::string(BudgetBytes / 2, 'x')));
  EXPECT_EQ(sender_->counters().frames_dropped, 0U);
}

TEST_F(SendBudgetTest, TheLongestFrameFitsTheLeastBudget) {
  TcpTransportOptions options;
  options.frame_bytes = 1U << 20U;
  options.send_bytes = leastSendBytes(options.frame_bytes);
  const auto sender = make("127.0.2.4", options);
  const auto target = make("127.0.2.2");
  target->setReceiver(&receiver);
  const std::size_t overhead = wire::encode(numbered(*sender, 0, "")).size();
  sender->send(target->localAddress(),
               numbered(*sender, 0, std::string(options.frame_bytes - overhead - 16, 'x')));
  EXPECT_TRUE(runUntil([&] { return !receiver.envelopes.empty(); }));
}

TEST_F(TcpTransportTest, TheOldestUnfinishedFrameGivesWay) {
  TcpTransportOptions options;
  options.frame_bytes = 1U << 20U;
  options.receive_bytes = 2U << 20U;
  const auto transport = make("127.0.2.2", options);
  transport->setReceiver(&receiver);
  const std::string unfinished = std::string("\x00\x10\x00\x00", 4) + std::string(900'000, 'f');
  std::vector<tcp::socket> sockets;
  for (int count = 0; count < 3; ++count) {
    sockets.push_back(connectRaw(*transport));
    bool is_written = false;
    boost::asio::async_write(
        sockets.back(), boost::asio::buffer(unfinished),
        [&](const boost::system::error_code&, std::size_t) { is_written = true; });
    ASSERT_TRUE(runUntil([&] { return is_written; }));
  }
  EXPECT_TRUE(closedByPeer(sockets.front()));
  EXPECT_GE(transport->counters().displaced_connections, 1U);
  // A node that speaks the protocol is still heard.
  const auto sender = make("127.0.2.1");
  sender->send(transport->localAddress(), numbered(*sender, 7, std::string(500'000, 'x')));
  EXPECT_TRUE(runUntil([&] { return receiver.envelopes.size() == 1; }));
}

TEST_F(TcpTransportTest, TheConnectionWithoutFramesForLongestGivesWay) {
  TcpTransportOptions options;
  options.incoming_connections = 2;
  const auto transport = make("127.0.2.2", options);
  transport->setReceiver(&receiver);
  const auto sender = make("127.0.2.1");
  tcp::socket first = connectRaw(*transport);
  sender->send(transport->localAddress(), numbered(*sender, 1, "a"));
  ASSERT_TRUE(runUntil([&] { return receiver.envelopes.size() == 1; }));
  tcp::socket second = connectRaw(*transport);
  EXPECT_TRUE(closedByPeer(first));
  sender->send(transport->localAddress(), numbered(*sender, 2, "b"));
  EXPECT_TRUE(runUntil([&] { return receiver.envelopes.size() == 2; }));
  EXPECT_EQ(transport->counters().displaced_connections, 1U);
}

TEST_F(TcpTransportTest, ClosesAConnectionWithoutAcknowledgements) {
  TcpTransportOptions options;
  options.user_timeout = std::chrono::milliseconds(200);
  const auto sender = make("127.0.2.1", options);
  tcp::acceptor unresponsive(context, {boost::asio::ip::make_address("127.0.2.3"), 0});
  const base::NodeAddress peer{"127.0.2.3", unresponsive.local_endpoint().port()};
  int connections = 0;
  std::vector<tcp::socket> unread;
  std::function<void()> accept = [&] {
    unresponsive.async_accept([&](const boost::system::error_code&, tcp::socket socket) {
      ++connections;
      unread.push_back(std::move(socket));
      accept();
    });
  };
  accept();
  for (std::uint64_t number = 0; number < 60; ++number) {
    sender->send(peer, numbered(*sender, number, std::string(1U << 20U, 'x')));
  }
  EXPECT_TRUE(runUntil([&] { return connections >= 2; }));
}

TEST_F(TcpTransportTest, ClosesOnlyTheConnectionWithMalformedFrames) {
  TcpTransportOptions options;
  options.frame_bytes = 1U << 20U;
  const auto target = make("127.0.2.2", options);
  const auto sender = make("127.0.2.1");
  target->setReceiver(&receiver);
  std::string corrupted = wire::encode(numbered(*sender, 1));
  corrupted.back() = static_cast<char>(corrupted.back() + 1);
  const std::vector<std::string> inputs{"\xff\xff\xff\xff garbage",
                                        frame("garbage"),
                                        frame(""),
                                        frame(corrupted),
                                        frame(std::string((1U << 20U) + 1, 'x')),
                                        "GET / HTTP/1.1\r\n\r\n"};
  std::uint64_t malformed = 0;
  for (const std::string& input : inputs) {
    tcp::socket socket = connectRaw(*target);
    boost::asio::async_write(socket, boost::asio::buffer(input),
                             [](const boost::system::error_code&, std::size_t) {});
    EXPECT_TRUE(closedByPeer(socket)) << input.substr(0, 20);
    EXPECT_EQ(target->counters().malformed_frames, ++malformed);
  }
  sender->send(target->localAddress(), numbered(*sender, 7));
  EXPECT_TRUE(runUntil([&] { return receiver.envelopes.size() == 1; }));
}

TEST_F(TcpTransportTest, AcceptsFramesInAnySegmentation) {
  const auto target = make("127.0.2.2");
  target->setReceiver(&receiver);
  tcp::socket socket = connectRaw(*target);
  socket.set_option(tcp::no_delay(true));
  const std::string one = frame(wire::encode(numbered(*target, 1)));
  for (const char byte : one) {
    boost::asio::write(socket, boost::asio::buffer(&byte, 1));
    context.restart();
    context.poll();
  }
  boost::asio::write(socket, boost::asio::buffer(one + one + one.substr(0, 9)));
  EXPECT_TRUE(runUntil([&] { return receiver.envelopes.size() == 3; }));
  boost::asio::write(socket, boost::asio::buffer(one.substr(9)));
  EXPECT_TRUE(runUntil([&] { return receiver.envelopes.size() == 4; }));
  EXPECT_EQ(target->counters().malformed_frames, 0U);
}

TEST_F(TcpTransportTest, ConnectsFromItsListeningAddress) {
  const auto sender = make("127.0.2.77");
  tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.2.3"), 0});
  std::string remote_address;
  acceptor.async_accept([&](const boost::system::error_code&, tcp::socket socket) {
    remote_address = socket.remote_endpoint().address().to_string();
  });
  sender->send({"127.0.2.3", acceptor.local_endpoint().port()}, numbered(*sender, 1));
  ASSERT_TRUE(runUntil([&] { return !remote_address.empty(); }));
  EXPECT_EQ(remote_address, "127.0.2.77");
}

TEST_F(TcpTransportTest, ClosesAnIdleConnectionAndOpensANewOne) {
  TcpTransportOptions options;
  options.idle_timeout = std::chrono::milliseconds(20);
  const auto sender = make("127.0.2.1", options);
  tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.2.3"), 0});
  const base::NodeAddress peer{"127.0.2.3", acceptor.local_endpoint().port()};
  for (std::uint64_t number = 1; number <= 2; ++number) {
    std::optional<tcp::socket> accepted;
    acceptor.async_accept([&](const boost::system::error_code&, tcp::socket socket) {
      accepted.emplace(std::move(socket));
    });
    const auto envelope = numbered(*sender, number);
    sender->send(peer, envelope);
    ASSERT_TRUE(runUntil([&] { return accepted.has_value(); }));
    std::string received(frame(wire::encode(envelope)).size(), '\0');
    bool complete = false;
    boost::asio::async_read(
        *accepted, boost::asio::buffer(received),
        [&](const boost::system::error_code& error, std::size_t) { complete = !error; });
    ASSERT_TRUE(runUntil([&] { return complete; }));
    EXPECT_EQ(received, frame(wire::encode(envelope)));
    EXPECT_TRUE(closedByPeer(*accepted));
  }
  EXPECT_EQ(sender->counters().frames_dropped, 0U);
}

TEST_F(TcpTransportTest, ReportsARefusedAttemptOnceForEachOfItsFrames) {
  const auto sender = make("127.0.2.1");
  sender->setReceiver(&receiver);
  for (std::uint64_t number = 0; number < 10; ++number) {
    sender->send({"127.0.2.250", 9}, numbered(*sender, number));
  }
  ASSERT_TRUE(runUntil([&] { return !receiver.refused.empty(); }));
  context.restart();
  context.poll();
  EXPECT_EQ(receiver.refused_ids, (std::vector<std::uint64_t>{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}));
  EXPECT_EQ(sender->counters().refused_connections, 1U);
  EXPECT_EQ(sender->counters().frames_dropped, 10U);
}

/** Throws on the envelope with request id 0. */
class ThrowingReceiver : public RecordingReceiver {
 public:
  void onEnvelope(wire::Envelope envelope) override {
    if (envelope.request_id == 0) {
      throw std::runtime_error("fault");
    }
    RecordingReceiver::onEnvelope(std::move(envelope));
  }
};

TEST_F(TcpTransportTest, ContinuesAfterAReceiverThrows) {
  const auto sender = make("127.0.2.1");
  const auto target = make("127.0.2.2");
  ThrowingReceiver throwing;
  target->setReceiver(&throwing);
  sender->send(target->localAddress(), numbered(*sender, 0));
  sender->send(target->localAddress(), numbered(*sender, 1));
  EXPECT_TRUE(runUntil([&] { return throwing.envelopes.size() == 1; }));
  EXPECT_EQ(target->counters().failed_deliveries, 1U);
}

/** Destroys its transport from within a callback. */
class DestroyingReceiver : public Receiver {
 public:
  explicit DestroyingReceiver(std::unique_ptr<TcpTransport>& transport) : transport_(transport) {}
  void onEnvelope(wire::Envelope /*envelope*/) override { destroy(); }
  void onRefused(const base::NodeAddress& /*peer*/, const RefusedEnvelope& /*envelope*/) override {
    destroy();
  }
  int calls = 0;

 private:
  void destroy() {
    ++calls;
    transport_.reset();
  }
  std::unique_ptr<TcpTransport>& transport_;
};

TEST_F(TcpTransportTest, MayBeDestroyedFromItsCallbacks) {
  const auto sender = make("127.0.2.1");
  auto target = make("127.0.2.2");
  DestroyingReceiver destroying(target);
  target->setReceiver(&destroying);
  const base::NodeAddress address = target->localAddress();
  for (std::uint64_t number = 0; number < 10; ++number) {
    sender->send(address, numbered(*sender, number));
  }
  EXPECT_TRUE(runUntil([&] { return target == nullptr; }));
  EXPECT_EQ(destroying.calls, 1);
  target = make("127.0.2.2");
  target->setReceiver(&destroying);
  target->send({"127.0.2.250", 9}, numbered(*target, 1));
  EXPECT_TRUE(runUntil([&] { return target == nullptr; }));
  EXPECT_EQ(destroying.calls, 2);
}

TEST_F(TcpTransportTest, ANodeCanListenOnThePortOfAnotherNodesConnection) {
  const auto sender = make("127.0.2.1");
  tcp::acceptor peer(context, {boost::asio::ip::make_address("127.0.2.3"), 0});
  tcp::socket accepted(context);
  peer.async_accept(accepted, [](const boost::system::error_code&) {});
  sender->send({"127.0.2.3", peer.local_endpoint().port()}, numbered(*sender, 1));
  ASSERT_TRUE(runUntil([&] { return accepted.is_open(); }));
  const base::NodeAddress local{"127.0.2.1", accepted.remote_endpoint().port()};
  EXPECT_NO_THROW(TcpTransport(context, dispatcher, local));
}

TEST_F(TcpTransportTest, RejectsAnInvalidAddressAndOneInUse) {
  const auto listening = make("127.0.2.1");
  const std::pair<base::NodeAddress, base::ResultCode> cases[] = {
      {listening->localAddress(), base::ResultCode::AddressUnavailable},
      {{"not an address", 1}, base::ResultCode::InvalidAddress}};
  for (const auto& [address, expected] : cases) {
    try {
      TcpTransport transport(context, dispatcher, address);
      FAIL() << "listens on " << address.toString();
    } catch (const base::Error& error) {
      EXPECT_EQ(error.code(), expected);
    }
  }
}

}  // namespace
}  // namespace switchsaddle::transport
