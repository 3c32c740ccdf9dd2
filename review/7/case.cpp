// A router is added just after the store has come back from an older copy, while
// the store turns one of the three others away.
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
  Store::Door first_door(store);  // of the first router
  std::vector<Tenant> tenants;
  for (int i = 1; i <= 9; ++i) {
    tenants.push_back({"t" + std::to_string(i), "key-" + std::to_string(i), kPrepaid});
  }
  store.Put("op", "config", Config(10, tenants, true));
  std::vector<std::unique_ptr<Upstream>> servers;
  for (int i = 1; i <= 2; ++i) {
    servers.push_back(std::make_unique<Upstream>(store, "i-" + std::to_string(i), "s", "v1", 2));
  }
  Router first(record, dir, "front-a-1", first_door.Port());
  Router second(record, dir, "front-a-2", store.Port());
  Router third(record, dir, "front-a-3", store.Port());
  Router added(record, dir, "front-a-4", store.Port());
  for (Router* router : {&first, &second, &third}) router->Start();
  for (Router* router : {&first, &second, &third}) {
    if (!router->WaitReady(15'000)) return 2;
  }

  // Tokens that each tenant got: its prompts, and the events that arrived. Only
  // complete streams are counted.
  std::mutex mutex;
  std::map<std::string, std::int64_t> got;
  std::map<int, int> statuses;
  std::atomic<int> number{0};
  const auto spend = [&](const Tenant& tenant, const Router& router) {
    Request request = MakeRequest("POST", "/stream/x", tenant.key, "r" + std::to_string(++number), 4000);
    request.headers.emplace_back("Token-Count", std::to_string(kPrompt) + ',' + std::to_string(kOutput));
    request.headers.emplace_back("Prompt-Prefix", "aa:10");
    request.body = "x";
    const Response response = Call(router.Front(), request, 5000);
    const std::scoped_lock lock(mutex);
    ++statuses[response.status];
    if (response.status == 200 && response.whole) got[tenant.name] += kPrompt + kOutput;
  };
  const auto load = [&](int count, int gap_ms, std::vector<const Router*> to) {
    std::vector<std::thread> threads;
    for (int n = 0; n < count; ++n) {
      for (const Tenant& tenant : tenants) {
        threads.emplace_back(spend, std::cref(tenant), std::cref(*to[static_cast<std::size_t>(n) % to.size()]));
      }
      SleepMs(gap_ms);
    }
    for (std::thread& thread : threads) thread.join();
  };
  const auto report = [&](const std::string& when) {
    const std::scoped_lock lock(mutex);
    std::string text = when + ":";
    for (const Tenant& tenant : tenants) text += ' ' + std::to_string(got[tenant.name]);
    text += " of " + std::to_string(kPrepaid) + " tokens";
    for (const auto& [status, count] : statuses) text += "; " + std::to_string(count) + " x " + std::to_string(status);
    record.Line(text);
  };

  load(12, 50, {&first, &second, &third});
  SleepMs(1500);
  store.Copy();
  const std::int64_t copied = NowMs();
  report("at the copy");
  load(140, 16, {&first, &second, &third});
  report("before the restore");
  SleepMs(600);
  if (trouble) {
    store.SetAway(true);
    first_door.SetClosed(true);
    record.Line("the store is away");
    SleepMs(1000);
    record.Line("the copy is " + std::to_string(NowMs() - copied) + " ms old");
    store.Restore();
    store.SetAway(false);
    record.Line("the store serves all but front-a-1");
    store.Put("op", "config", Config(10, tenants, true));
  }
  const std::int64_t returned = NowMs();
  added.Start();
  if (!added.WaitReady(5000)) return 2;
  load(120, 30, {&added});
  report("after the fourth router was added");
  while (NowMs() < returned + 7500) SleepMs(10);
  first_door.SetClosed(false);
  if (trouble) record.Line("the store serves all");
  SleepMs(5000);
  load(100, 40, {&first, &second, &third, &added});
  SleepMs(14'000);
  load(100, 40, {&first, &second, &third, &added});
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
