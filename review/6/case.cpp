// A rollout is ordered, the store comes back from a copy that is older than the
// order, and the operator writes the order again. The rollout completes. Then
// the final fault kills all routers, and they start again.
#include <cstdlib>
#include <iostream>
#include <random>

#include "../kit-2/platform.hpp"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const std::string dir = argv[2];
  Record record(std::string(argv[1]) + "/record.txt");
  const bool trouble = Trouble();
  record.Line(trouble ? "with the restore" : "without the restore");

  Store store(record);
  const std::vector<Tenant> tenants{{"t", "key-t", 0}};
  store.Put("op", "config", Config(10, tenants, false));
  std::vector<std::unique_ptr<Upstream>> old_servers, new_servers;
  for (int i = 1; i <= 2; ++i) {
    old_servers.push_back(std::make_unique<Upstream>(store, "i-old-" + std::to_string(i), "s", "v1"));
  }
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 1; i <= 3; ++i) {
    routers.push_back(std::make_unique<Router>(record, dir, "front-a-" + std::to_string(i), store.Port()));
    routers.back()->Start();
  }
  for (const auto& router : routers) {
    if (!router->WaitReady(15'000)) return 2;
  }
  record.Line("all routers are ready");

  // Requesters: 60 requests a second, each to one router.
  std::atomic<bool> stop{false};
  std::atomic<int> sent{0}, served{0};
  std::vector<std::thread> requesters;
  for (int i = 0; i < 6; ++i) {
    requesters.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(i + 1));
      for (int n = 0; !stop; ++n) {
        const std::string id = std::to_string(i) + '-' + std::to_string(n);
        const int port = routers[random() % routers.size()]->Front();
        const Response response = Call(port, MakeRequest("GET", "/lookup/x", "key-t", id, 1500), 2500);
        ++sent;
        if (response.status == 200 && response.whole) {
          ++served;
        } else {
          record.Line("request " + id + ": " + std::to_string(response.status) + ' ' + response.error);
        }
        SleepMs(90);
      }
    });
  }
  // The operator's reaction to the status.
  const auto state = [&store] {
    const std::string text = store.Get("status", "rollout/s");
    if (text.empty()) return std::string();
    return std::string(json::parse(text).as_object().at("state").as_string());
  };
  std::string last_state;
  std::atomic<bool> operator_ends{false};
  std::atomic<bool> completed{false};
  std::thread operator_thread([&] {
    bool old_stopped = false;
    std::int64_t drain_at = 0, stop_at = 0;
    while (!operator_ends) {
      const std::string now = state();
      if (now == "completed" && !old_stopped) {
        old_stopped = true;
        completed = true;
        record.Line("the operator reads completed and stops the old servers");
        for (const auto& server : old_servers) server->Stop();
      }
      if (now == "rolled_back" && drain_at == 0) {
        record.Line("the operator reads rolled_back: the new servers will drain");
        drain_at = NowMs() + 3000;
      }
      if (drain_at != 0 && stop_at == 0 && NowMs() >= drain_at) {
        for (const auto& server : new_servers) server->Drain();
        record.Line("the new servers drain");
        stop_at = NowMs() + 4000;
      }
      if (stop_at != 0 && NowMs() >= stop_at) {
        for (const auto& server : new_servers) server->Stop();
      }
      SleepMs(50);
    }
  });

  SleepMs(2000);
  store.Copy();
  SleepMs(2000);
  for (int i = 1; i <= 2; ++i) {
    new_servers.push_back(std::make_unique<Upstream>(store, "i-new-" + std::to_string(i), "s", "v2"));
  }
  SleepMs(500);
  const std::string order = json::serialize(json::object{{"service", "s"}, {"to", "v2"}, {"ramp_s", 15}});
  store.Put("op", "rollout/s", order);
  record.Line("the operator orders v2 at version " + std::to_string(store.VersionOf("op", "rollout/s")));
  const std::int64_t ordered = NowMs();
  SleepMs(2000);
  if (trouble) {
    store.SetAway(true);
    record.Line("the store is away");
    SleepMs(1500);
    store.Restore();
    store.SetAway(false);
    SleepMs(500);
    store.Put("op", "rollout/s", order);
    record.Line("the operator writes the order again, at version " +
                std::to_string(store.VersionOf("op", "rollout/s")));
  }
  while (NowMs() < ordered + 20'000 && !completed) SleepMs(100);
  SleepMs(3000);
  int sent_before = sent, served_before = served;
  SleepMs(3000);
  sent_before = sent - sent_before;
  served_before = served - served_before;
  record.Line("before the final fault: " + std::to_string(served_before) + " of " +
              std::to_string(sent_before) + " served; status " + state());

  record.Line("final fault: all routers are killed");
  for (const auto& router : routers) router->Kill();
  SleepMs(1400);
  for (const auto& router : routers) router->Start();
  SleepMs(12'000);  // recovery_s
  int sent_after = sent, served_after = served;
  SleepMs(15'000);
  sent_after = sent - sent_after;
  served_after = served - served_after;
  record.Line("later than recovery_s after it: " + std::to_string(served_after) + " of " +
              std::to_string(sent_after) + " served; status " + state());
  stop = true;
  for (std::thread& thread : requesters) thread.join();
  operator_ends = true;
  operator_thread.join();
  const bool could_run = sent_before > 0 && 4 * served_before >= sent_before;
  const bool broken = 4 * served_after < sent_after;
  record.Line(!could_run ? "could not run" : broken ? "RECOVER broken" : "RECOVER held");
  std::cout << (!could_run ? "could not run" : broken ? "RECOVER broken" : "RECOVER held") << ": before "
            << served_before << '/' << sent_before << ", after " << served_after << '/' << sent_after
            << ", status " << state() << std::endl;
  return !could_run ? 2 : broken ? 1 : 0;
}
