// One of two routers is stopped and started again, as for an update; the other
// one runs all the time. Then the store comes back from a copy that is older
// than the stop.
#include <iostream>

#include "../kit-2/platform.hpp"

using namespace review;

namespace {
constexpr int kPrompt = 10, kOutput = 10;
constexpr std::int64_t kPrepaid = 4000;  // of each tenant: 200 requests
}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const std::string dir = argv[2];
  Record record(std::string(argv[1]) + "/record.txt");
  const bool trouble = Trouble();
  record.Line(trouble ? "with the restore" : "without the restore");

  Store store(record);
  std::vector<Tenant> tenants;
  for (int i = 1; i <= 3; ++i) {
    tenants.push_back({"t" + std::to_string(i), "key-" + std::to_string(i), kPrepaid});
  }
  store.Put("op", "config", Config(10, tenants, true));
  std::vector<std::unique_ptr<Upstream>> servers;
  for (int i = 1; i <= 2; ++i) {
    servers.push_back(std::make_unique<Upstream>(store, "i-" + std::to_string(i), "s", "v1", 2));
  }
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 1; i <= 2; ++i) {
    routers.push_back(std::make_unique<Router>(record, dir, "front-a-" + std::to_string(i), store.Port()));
    routers.back()->Start();
  }
  for (const auto& router : routers) {
    if (!router->WaitReady(15'000)) return 2;
  }

  // Tokens that each tenant got: its prompts, and the events that arrived. Only
  // complete streams are counted.
  std::mutex mutex;
  std::map<std::string, std::int64_t> got;
  std::map<int, int> statuses;
  std::atomic<int> number{0};
  const auto spend = [&](const Tenant& tenant, std::size_t router) {
    Request request = MakeRequest("POST", "/stream/x", tenant.key, "r" + std::to_string(++number), 4000);
    request.headers.emplace_back("Token-Count", std::to_string(kPrompt) + ',' + std::to_string(kOutput));
    request.headers.emplace_back("Prompt-Prefix", "aa:10");
    request.body = "x";
    const Response response = Call(routers[router]->Front(), request, 5000);
    const std::scoped_lock lock(mutex);
    ++statuses[response.status];
    if (response.status == 200 && response.whole) got[tenant.name] += kPrompt + kOutput;
  };
  // Each tenant sends `count` requests at intervals of `gap_ms` to the routers
  // that the ingress still uses.
  const auto load = [&](int count, int gap_ms, std::vector<std::size_t> to) {
    std::vector<std::thread> threads;
    for (int n = 0; n < count; ++n) {
      for (const Tenant& tenant : tenants) {
        threads.emplace_back(spend, std::cref(tenant), to[static_cast<std::size_t>(n) % to.size()]);
      }
      SleepMs(gap_ms);
    }
    for (std::thread& thread : threads) thread.join();
  };
  const auto report = [&](const std::string& when) {
    const std::scoped_lock lock(mutex);
    std::string text = when + ":";
    for (const Tenant& tenant : tenants) {
      text += ' ' + tenant.name + " got " + std::to_string(got[tenant.name]) + " of " + std::to_string(kPrepaid);
    }
    for (const auto& [status, count] : statuses) text += "; " + std::to_string(count) + " x " + std::to_string(status);
    record.Line(text);
  };

  load(10, 50, {0, 1});
  SleepMs(1500);
  report("before the copy");
  store.Copy();
  const std::int64_t copied = NowMs();
  load(100, 16, {0, 1});
  report("before the stop");
  routers[0]->Term();
  routers[0]->Start();
  if (!routers[0]->WaitReady(5000)) return 2;
  load(5, 20, {0, 1});
  report("after the stop");
  while (NowMs() < copied + 8200) SleepMs(10);
  if (trouble) {
    store.SetAway(true);
    record.Line("the store is away");
    SleepMs(500);
    record.Line("the copy is " + std::to_string(NowMs() - copied) + " ms old");
    store.Restore();
    store.SetAway(false);
    SleepMs(200);
    store.Put("op", "config", Config(10, tenants, true));
  }
  SleepMs(3000);
  load(250, 40, {0, 1});
  SleepMs(6000);
  load(150, 40, {0, 1});
  report("at the end");
  bool broken = false, any = false;
  std::string text;
  for (const Tenant& tenant : tenants) {
    broken = broken || got[tenant.name] > kPrepaid;
    any = any || got[tenant.name] >= kPrepaid / 2;
    text += ' ' + tenant.name + '=' + std::to_string(got[tenant.name]);
  }
  record.Line(!any ? "could not run" : broken ? "BUDGET broken" : "BUDGET held");
  std::cout << (!any ? "could not run" : broken ? "BUDGET broken" : "BUDGET held") << ", prepaid " << kPrepaid
            << ", got" << text << std::endl;
  return !any ? 2 : broken ? 1 : 0;
}
