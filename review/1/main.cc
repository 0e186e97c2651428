// Eight times over, the gateway that reads the store for its zone is killed and
// comes back half a second later. Just after the kill, one backend of each
// service leaves without having reported that it drains; from then on its
// answers say that it leaves. The other gateways, which nothing has disturbed,
// must not send to it later than drainMs after the store has taken its removal.
// The clients rest around the kill, so that no answer of the backend tells the
// gateways what the store has told them.
#include "../fleet.h"

using namespace review;

namespace {

constexpr int kRounds = 8;
constexpr int kGateways = 4;
constexpr int kServiceCount = 3;
constexpr int kBackendsOfService = 4;
constexpr double kDrainS = 2.0;     // drainMs of SYSTEM.md.
constexpr int kRestartMs = 500;     // The platform restarts after a delay.
constexpr double kServesOnS = 5.0;  // A backend that leaves serves on so long.
const char* const kServices[] = {"desk", "pay", "list"};

struct Leaver {
  Backend* backend = nullptr;
  std::string id;
  double removed = 0.0;
  std::vector<std::pair<double, std::string>> runs;  // When, id of request.
};

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
  std::mutex mutex;
  int last_backend = 0;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<Leaver>> in_service;  // As Leaver, if it leaves.
  std::vector<Leaver*> of_service[kServiceCount], left;
  const auto add_backend = [&](int service) {
    const int number = ++last_backend;
    auto leaver = std::make_unique<Leaver>();
    leaver->id = "i-" + std::to_string(number);
    backends.push_back(std::make_unique<Backend>(
        store, record,
        Backend::Options{leaver->id, kServices[service],
                         net + std::to_string(150 + number) + ":8080",
                         "colombo", 3, 120}));
    leaver->backend = backends.back().get();
    leaver->backend->work = [&mutex, it = leaver.get()](const Message& m) {
      const std::scoped_lock lock(mutex);
      it->runs.emplace_back(Seconds(), m.Get("x-attempt-id"));
      return 120;
    };
    leaver->backend->Report("ready");
    record.Line("backend " + leaver->id + " of " + kServices[service] +
                " reports ready");
    of_service[service].push_back(leaver.get());
    in_service.push_back(std::move(leaver));
  };
  for (int i = 0; i < kServiceCount * kBackendsOfService; ++i) {
    add_backend(i % kServiceCount);
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
  SleepMs(4000);

  std::map<std::string, double> sent;  // By id: when.
  std::map<std::string, int> sent_to;
  std::atomic<bool> stop{false}, rest{false};
  std::atomic<int> skipped{-1};  // The gateway that gets no requests.
  std::atomic<int> served{0}, failed{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kGateways; ++i) {
    for (int k = 0; k < 2 * kServiceCount; ++k) {
      clients.emplace_back([&, i, k] {
        Connection connection;
        for (int n = 0; !stop; ++n) {
          if (rest || skipped == i) {
            SleepMs(5);
            continue;
          }
          if (!connection.Open() && !connection.Connect(gateways[i]->Front())) {
            SleepMs(100);
            continue;
          }
          const std::string id = "c" + std::to_string(i) + std::to_string(k) +
                                 "-" + std::to_string(n);
          {
            const std::scoped_lock lock(mutex);
            sent[id] = Seconds();
            sent_to[id] = i;
          }
          record.Line("send " + id + " to gateway " + std::to_string(i));
          connection.Write(
              k % kServiceCount == 2
                  ? Request("GET", "/list/" + id, id, 3000)
                  : Request("POST",
                            (k % kServiceCount ? "/pay/" : "/book/") + id, id,
                            3000, "visit"));
          Message answer;
          const auto result = connection.Read(answer, 4000);
          const bool whole = result == Connection::Result::kMessage;
          record.Line("client " + id + " gets " +
                      (whole ? answer.first : "no answer"));
          whole&& answer.Status() == 200 ? ++served : ++failed;
          if (!whole) connection.Close();
          SleepMs(60);
        }
      });
    }
  }

  for (int round = 0; round < kRounds; ++round) {
    // The gateway that reads the list of servers for the others.
    int reader = -1;
    const std::string address = store.LastReader(1500);
    for (int i = 0; i < kGateways; ++i) {
      if (store_addresses[i] == address) reader = i;
    }
    if (reader < 0) {
      std::printf("no gateway reads the store\n");
      return 2;
    }
    record.Line("gateway " + std::to_string(reader) + " reads the store");
    skipped = reader;  // Its clients use others while it is down and in calm.
    SleepMs(2500);
    rest = true;
    // Kills come at any time between two reads of the store, which are held for
    // up to a second.
    SleepMs(300 + 370 * round % 1000);
    if (trouble) {
      gateways[reader]->Signal(SIGKILL);
      record.Line("SIGKILL of gateway " + std::to_string(reader));
    }
    SleepMs(100);
    double removed = 0.0;
    for (auto& service : of_service) {
      Leaver* leaver = service.front();
      service.erase(service.begin());
      leaver->backend->leaving = true;
      leaver->backend->Remove();
      removed = leaver->removed = Seconds();
      left.push_back(leaver);
      record.Line("entry of " + leaver->id + " removed, as the store confirms");
    }
    SleepMs(kRestartMs - 100);
    if (trouble) {
      while (!gateways[reader]->Ended()) SleepMs(1);
      gateways[reader]->Start(false);
      record.Line("gateway " + std::to_string(reader) + " started again");
    }
    for (int i = 0; i < kServiceCount; ++i) {  // Backends that take over.
      SleepMs(100);
      add_backend(i);
    }
    const auto until = [&](double s) {
      SleepMs(std::max(0, static_cast<int>((removed + s - Seconds()) * 1000)));
    };
    until(kDrainS + 0.5);
    rest = false;
    until(kServesOnS);
  }
  stop = true;
  for (auto& it : clients) it.join();
  for (int i = 0; i < kGateways; ++i) {
    if (gateways[i]->Ended()) {
      std::printf("gateway %d ended by itself\n", i);
      return 2;
    }
  }

  const std::scoped_lock lock(mutex);
  int before = 0, late = 0;
  for (const Leaver* leaver : left) {
    for (const auto& [at, id] : leaver->runs) {
      before += at < leaver->removed ? 1 : 0;
      // Sent by the client and run later than the bound, through a gateway that
      // nothing had disturbed (the killed one gets no requests until then).
      if (sent[id] > leaver->removed + kDrainS) {
        ++late;
        char line[160];
        std::snprintf(line, sizeof(line),
                      "BROKEN: %s, sent %.3f s after the removal of %s to "
                      "gateway %d, was run there",
                      id.c_str(), sent[id] - leaver->removed,
                      leaver->id.c_str(), sent_to[id]);
        record.Line(line);
      }
    }
  }
  std::printf(
      "served %d, not served %d; the backends that left ran %d before their "
      "removal, and %d that were sent later than %.1f s after it\n",
      served.load(), failed.load(), before, late, kDrainS);
  if (before == 0 || served < 100) return 2;
  return late > 0 ? 1 : 0;
}
