// Half of the backends spoil one byte in 2 of 100 answers: a digit of the
// Content-Length becomes a letter. Such bytes are no response, so a caller must
// not get a success from them. Answers that are not spoiled stay as they are.
#include "../fleet.h"

using namespace review;

namespace {

constexpr int kGateways = 3;
constexpr int kBackends = 6;
constexpr int kSpoiledOneOf = 50;  // x = .02 of the answers,
constexpr int kSpoilers = 3;       // share = .5 of the backends (`garble`).
constexpr int kCallers = 12;
constexpr double kTrafficS = 30.0;
constexpr std::size_t kBodyBytes = 600;

std::string BodyOf(const std::string& id) {
  std::string body = "visit " + id + " is booked.";
  body.resize(kBodyBytes, '.');
  return body;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const std::string root = argv[1], folder = argv[2];
  const char* wish = std::getenv("TROUBLE");
  const bool trouble = wish == nullptr || std::string(wish) != "0";
  Record record(argv[3]);
  const std::string net = Net();

  std::vector<std::string> store_addresses;
  for (int i = 0; i < kGateways; ++i) {
    store_addresses.push_back(net + std::to_string(100 + i) + ":8142");
  }
  Store store(store_addresses);
  store.Put("keyed.op", "config", Config(7));
  std::atomic<int> spoiled{0};
  std::atomic<int> counts[kBackends] = {};
  std::vector<std::unique_ptr<Backend>> backends;
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(
        store, record,
        Backend::Options{"i-" + std::to_string(i), "desk",
                         net + std::to_string(150 + i) + ":8080", "colombo", 3,
                         40}));
    backends.back()->answer = [&, i](Connection& connection,
                                     const Message& request,
                                     const std::string&) {
      const std::string id = request.Get("x-attempt-id");
      const bool spoil =
          trouble && i < kSpoilers && ++counts[i] % kSpoiledOneOf == 0;
      const std::string length = std::to_string(kBodyBytes);
      connection.Write(
          "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
          "\r\nX-Response-Signature: sig-" + id + "\r\nContent-Length: " +
          (spoil ? std::string("6x0") : length) + "\r\n\r\n" + BodyOf(id));
      spoiled += spoil ? 1 : 0;
      if (spoil) record.Line("i-" + std::to_string(i) + " spoils " + id);
      return spoil;
    };
    backends.back()->answered_by_hook = true;
    backends.back()->Report("ready");
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(
        std::make_unique<Gateway>(root, folder, net + std::to_string(10 + i),
                                  "colombo", store_addresses[i]));
    gateways.back()->Start(true);
  }
  for (const auto& it : gateways) {
    if (!it->WaitReady(20000)) {
      std::printf("a gateway did not get ready\n");
      return 2;
    }
  }
  SleepMs(3500);

  std::atomic<int> whole{0}, broken{0}, failed{0};
  const double until = Seconds() + kTrafficS;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      Connection connection;
      for (int n = 0; Seconds() < until; ++n) {
        if (!connection.Open() &&
            !connection.Connect(gateways[i % kGateways]->Front())) {
          SleepMs(100);
          continue;
        }
        const std::string id =
            "b" + std::to_string(i) + "-" + std::to_string(n);
        record.Line("send " + id);
        connection.Write(Request("POST", "/book/" + id, id, 3000, "visit"));
        Message answer;
        if (connection.Read(answer, 4000) != Connection::Result::kMessage) {
          connection.Close();
          ++failed;
          record.Line(id + " gets no answer");
        } else if (answer.Status() / 100 != 2) {
          ++failed;
          record.Line(id + " gets " + answer.first);
        } else if (answer.body == BodyOf(id)) {
          ++whole;
        } else {
          ++broken;
          record.Line("BROKEN: " + id + " gets " + answer.first +
                      ", signature " + answer.Get("x-response-signature") +
                      ", and " + std::to_string(answer.body.size()) + " of " +
                      std::to_string(kBodyBytes) + " bytes");
        }
        SleepMs(20);
      }
    });
  }
  for (auto& it : callers) it.join();
  std::printf(
      "answers: %d whole, %d failures; backends spoiled %d; successes with "
      "another body than the backend's: %d\n",
      whole.load(), failed.load(), spoiled.load(), broken.load());
  if (whole < 100 || (trouble && spoiled == 0)) return 2;
  return broken > 0 ? 1 : 0;
}
