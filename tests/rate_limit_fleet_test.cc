// Seeded simulation of fleets of gateways before upstreams that announce rate
// limits. Datagrams are lost, VMs are killed, stopped and partitioned. Compares
// the arrivals at each upstream with the limit for all VMs together, and shows
// how much of the limit is used.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "policy/gateway_core.h"
#include "tests/one_route_config.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// The required bound: from kContactMs after the first announcement, in any
// kWindowMs at most kMaxOverLimit times what the limit allows, and
// kExtraRequests.
constexpr std::int64_t kContactMs = 3'000;
constexpr std::int64_t kWindowMs = 4'000;
constexpr double kMaxOverLimit = 1.5;
constexpr double kExtraRequests = 5;

constexpr std::int64_t kAnnouncedMs = 1'000;
constexpr std::int64_t kServiceMs = 200;
constexpr std::int64_t kTimeoutMs = 25;  // of a permit request
constexpr int kAttempts = 2;
constexpr double kMinDemand = 50;  // requests a second

enum class Mode : std::uint8_t {
  kPermits,
  kEachVmAlone,  // each VM takes itself for the only issuer
  kIgnored,      // the limit is not read
};

struct Scenario {
  std::size_t vms = 8;
  std::size_t upstreams = 18;
  double limit = 3.5;
  double demand = 2;   // as a multiple of what the limits allow
  double loss = 0.01;  // of datagrams
  std::int64_t run_ms = 24'000;
  double killed = 0;       // VMs killed at 8 s and started 2 s later
  double stopped = 0;      // VMs stopped from 8 s to 11 s
  bool partition = false;  // two halves can't communicate from 8 s on
  double killed_for_good = 0;
  std::uint64_t seed = 1;
  Mode mode = Mode::kPermits;
};

struct Result {
  double worst = 0;  // largest count in a window, as a fraction of the bound
  double used = 0;   // fraction of the limits, from 4 s after the announcement
  double refused = 0;           // fraction of the requests
  double datagrams_per_vm = 0;  // a second
};

TimePoint At(std::int64_t us) { return TimePoint(Duration(us)); }

GatewayConfig MakeConfig() {
  return OneRouteConfig(std::chrono::seconds(10),
                        std::chrono::milliseconds(600));
}

class Fleet {
 public:
  explicit Fleet(Scenario scenario)
      : scenario(scenario),
        random(scenario.seed),
        arrivals(scenario.upstreams),
        announced_ms(scenario.upstreams),
        vms(scenario.vms) {
    for (std::size_t i = 0; i < this->vms.size(); ++i) this->StartVm(i);
  }

  Result Run() {
    this->ScheduleFaults();
    this->ScheduleArrival();
    const std::int64_t end = this->scenario.run_ms * 1000;
    while (!this->events.empty() && this->events.top().at < end) {
      Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    return this->Judge();
  }

 private:
  struct Event {
    std::int64_t at;  // us
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.number) < std::pair(at, number);
    }
  };

  struct Vm {
    std::unique_ptr<GatewayCore> core;
    std::uint64_t start = 0;  // number of the process
    bool down = false;
    std::int64_t stopped_until = 0;
  };

  struct Pending {
    std::size_t vm;
    std::uint64_t start;
    AdmittedRequest admitted;
  };
  using PendingPtr = std::shared_ptr<Pending>;

  struct Report {
    std::string instance;
    RateLimits::Announcement latest;
  };

  static std::string VmName(std::size_t i) { return "vm-" + std::to_string(i); }
  static std::size_t IndexOf(std::string_view name) {
    return std::stoul(std::string(name.substr(name.find('-') + 1)));
  }
  TimePoint Time() const { return At(this->now); }
  double Uniform() {
    return std::uniform_real_distribution<>(0, 1)(this->random);
  }

  void After(std::int64_t us, std::function<void()> run) {
    this->events.push({this->now + us, this->number++, std::move(run)});
  }
  // Runs at the VM as soon as it is not stopped, unless it was killed.
  void OnVm(std::size_t vm, std::uint64_t start, std::int64_t us,
            std::function<void()> run) {
    this->After(us, [this, vm, start, run = std::move(run)] {
      Vm& target = this->vms[vm];
      if (target.down || target.start != start) return;
      if (this->now < target.stopped_until) {
        this->OnVm(vm, start, target.stopped_until - this->now, run);
        return;
      }
      run();
    });
  }
  void Datagram(std::size_t from, std::size_t to, std::function<void()> run) {
    ++this->datagrams;
    const bool separated = this->partitioned && from % 2 != to % 2;
    if (separated || this->Uniform() < this->scenario.loss) return;
    const auto delay =
        static_cast<std::int64_t>(1'000 + this->Uniform() * 1'500);
    this->OnVm(to, this->vms[to].start, delay, std::move(run));
  }

  void StartVm(std::size_t i) {
    GatewayOptions options;
    options.vm = VmName(i);
    Vm& vm = this->vms[i];
    vm.core = std::make_unique<GatewayCore>(
        options, ProcessStart{++vm.start, this->Time()});
    vm.down = false;
    vm.core->SetConfig(MakeConfig());
    vm.core->SetConfigConfirmed(true);
    std::vector<std::string> peers;
    for (std::size_t peer = 0; peer < this->vms.size(); ++peer) {
      const bool known = this->scenario.mode != Mode::kEachVmAlone;
      if (known && peer != i) peers.push_back(VmName(peer));
    }
    vm.core->SetPeers(std::move(peers));
    for (std::size_t u = 0; u < this->scenario.upstreams; ++u) {
      UpstreamEntry entry;
      entry.id = "i-" + std::to_string(u);
      entry.service = "s";
      entry.address = "10.0.0.1:" + std::to_string(u + 1);
      entry.slots = 1000;
      vm.core->Upstreams().Put(entry);
    }
    this->QueryPeer(i);
  }

  // A VM that has started asks another one for the limits that it knows.
  void QueryPeer(std::size_t vm) {
    const auto peer = static_cast<std::size_t>(
        this->Uniform() * static_cast<double>(this->vms.size()));
    if (peer == vm || this->vms[peer].core == nullptr) return;
    this->Datagram(vm, peer, [this, vm, peer] {
      for (const auto& [instance, latest] :
           this->vms[peer].core->Limits().AllLimited()) {
        this->SendReport(peer, vm, instance);
      }
    });
  }

  Report ReportOf(std::size_t vm, std::string_view instance) {
    const auto* latest = this->vms[vm].core->Limits().Find(instance);
    return {std::string(instance),
            latest == nullptr ? RateLimits::Announcement{} : *latest};
  }
  void ApplyReport(std::size_t vm, const Report& report) {
    this->vms[vm].core->Limits().OnPeerReport(report.instance, report.latest);
  }
  void SendReport(std::size_t from, std::size_t to, std::string_view instance) {
    this->Datagram(from, to,
                   [this, to, report = this->ReportOf(from, instance)] {
                     this->ApplyReport(to, report);
                   });
  }

  void ScheduleFaults() {
    const auto share = [this](double part) {
      return static_cast<std::size_t>(
          std::ceil(part * static_cast<double>(this->vms.size())));
    };
    this->After(8'000'000, [this, share] {
      this->partitioned = this->scenario.partition;
      std::vector<std::size_t> order(this->vms.size());
      for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
      std::shuffle(order.begin(), order.end(), this->random);
      std::size_t next = 0;
      const auto each = [&](double part, const auto& fault) {
        for (std::size_t i = share(part); i > 0 && next < order.size(); --i) {
          fault(order[next++]);
        }
      };
      each(this->scenario.killed, [this](std::size_t vm) {
        this->vms[vm].down = true;
        this->After(2'000'000, [this, vm] { this->StartVm(vm); });
      });
      each(this->scenario.stopped, [this](std::size_t vm) {
        this->vms[vm].stopped_until = this->now + 3'000'000;
      });
      each(this->scenario.killed_for_good,
           [this](std::size_t vm) { this->vms[vm].down = true; });
    });
  }

  // Callers are spread unevenly over the VMs.
  void ScheduleArrival() {
    const double rate =
        std::max(kMinDemand, this->scenario.demand * this->scenario.limit *
                                 static_cast<double>(this->scenario.upstreams));
    const double gap_s = std::exponential_distribution<>(rate)(this->random);
    this->After(static_cast<std::int64_t>(gap_s * 1e6), [this] {
      const double uneven = this->Uniform() * std::sqrt(this->Uniform());
      const auto vm = static_cast<std::size_t>(
          uneven * static_cast<double>(this->vms.size()));
      if (!this->vms[vm].down) {
        this->OnVm(vm, this->vms[vm].start, 0, [this, vm] { this->Admit(vm); });
      }
      this->ScheduleArrival();
    });
  }

  void Admit(std::size_t vm) {
    GatewayRequest request;
    request.id = std::to_string(this->number++);
    request.host = "h";
    request.path = "/x";
    request.caller_timeout = std::chrono::seconds(5);
    request.fingerprint = this->number;
    ++this->requests;
    auto admission = this->vms[vm].core->Admit(request, this->Time());
    auto pending = std::make_shared<Pending>(
        Pending{vm, this->vms[vm].start,
                std::get<AdmittedRequest>(std::move(admission))});
    this->Continue(pending);
  }

  void Continue(const PendingPtr& pending) {
    GatewayCore& core = *this->vms[pending->vm].core;
    auto next = core.NextSend(pending->admitted, this->Time());
    if (std::holds_alternative<Refusal>(next)) {
      ++this->refusals;
      core.Finish(pending->admitted);
    } else if (const auto* wait = std::get_if<PermitWait>(&next)) {
      const std::int64_t us = (wait->until - this->Time()).count();
      this->OnVm(pending->vm, pending->start, us,
                 [this, pending] { this->Continue(pending); });
    } else if (const auto* needed = std::get_if<PermitRequest>(&next)) {
      this->AskForPermit(pending, *needed, kAttempts,
                         std::make_shared<bool>(false));
    } else {
      this->Send(pending, std::get<SendPlan>(std::move(next)));
    }
  }

  void AskForPermit(const PendingPtr& pending, const PermitRequest& needed,
                    int attempts, const std::shared_ptr<bool>& answered) {
    if (*answered) return;
    RateLimits& limits = this->vms[pending->vm].core->Limits();
    if (attempts == 0) {
      *answered = true;
      limits.OnTimeout(needed.issuer, this->Time());
      this->Continue(pending);
      return;
    }
    const std::size_t issuer = IndexOf(needed.issuer);
    const bool failover = limits.IssuerIsSilent(needed.instance, this->Time());
    this->Datagram(
        pending->vm, issuer,
        [this, pending, needed, issuer, failover, answered,
         report = this->ReportOf(pending->vm, needed.instance)] {
          this->ApplyReport(issuer, report);
          const auto verdict = this->vms[issuer].core->Limits().Issue(
              needed.instance, failover, this->Time());
          this->Datagram(issuer, pending->vm,
                         [this, pending, needed, verdict, answered,
                          reply = this->ReportOf(issuer, needed.instance)] {
                           if (std::exchange(*answered, true)) return;
                           GatewayCore& core = *this->vms[pending->vm].core;
                           this->ApplyReport(pending->vm, reply);
                           core.Limits().OnVerdict(needed.instance,
                                                   needed.issuer, verdict,
                                                   this->Time());
                           if (verdict.granted) {
                             core.OnPermit(pending->admitted, needed.instance);
                           }
                           this->Continue(pending);
                         });
        });
    this->OnVm(pending->vm, pending->start, kTimeoutMs * 1000,
               [this, pending, needed, attempts, answered] {
                 this->AskForPermit(pending, needed, attempts - 1, answered);
               });
  }

  void Send(const PendingPtr& pending, SendPlan plan) {
    const std::size_t upstream = IndexOf(plan.upstream.id);
    this->After(1'000, [this, upstream] {
      this->arrivals[upstream].push_back(this->now / 1000);
    });
    this->OnVm(pending->vm, pending->start, kServiceMs * 1000,
               [this, pending, upstream, plan = std::move(plan)] {
                 const std::size_t vm = pending->vm;
                 GatewayCore& core = *this->vms[vm].core;
                 const std::string instance = plan.upstream.InstanceId();
                 AnnouncedRate rate;
                 if (this->now >= kAnnouncedMs * 1000) {
                   rate = {AnnouncedRate::Kind::kLimited, this->scenario.limit};
                   std::int64_t& first = this->announced_ms[upstream];
                   if (first == 0) first = this->now / 1000;
                 }
                 if (this->scenario.mode == Mode::kIgnored) rate = {};
                 const auto change = core.Limits().OnAnswer(
                     instance, rate, plan.record.sent_at, this->Time());
                 if (change == RateLimits::Change::kAnnounced) {
                   for (std::size_t peer = 0; peer < this->vms.size(); ++peer) {
                     if (peer != vm) this->SendReport(vm, peer, instance);
                   }
                 }
                 core.OnSendEnded(pending->admitted, plan,
                                  SendOutcome::kAnswered, this->Time());
                 core.Finish(pending->admitted);
               });
  }

  Result Judge() const {
    const double bound =
        kMaxOverLimit * this->scenario.limit * kWindowMs / 1000 +
        kExtraRequests;
    Result result;
    std::int64_t used = 0;
    for (std::size_t i = 0; i < this->arrivals.size(); ++i) {
      const std::vector<std::int64_t>& times = this->arrivals[i];
      if (this->announced_ms[i] == 0) continue;
      const std::int64_t from = this->announced_ms[i] + kContactMs;
      std::size_t first = 0;
      for (std::size_t last = 0; last < times.size(); ++last) {
        if (times[last] < from) {
          first = last + 1;
          continue;
        }
        if (times[last] >= kAnnouncedMs + kContactMs) ++used;
        while (times[last] - times[first] >= kWindowMs) ++first;
        result.worst = std::max(result.worst,
                                static_cast<double>(last - first + 1) / bound);
      }
    }
    const double seconds =
        static_cast<double>(this->scenario.run_ms - kAnnouncedMs - kContactMs) /
        1000;
    const double allowed = this->scenario.limit * seconds *
                           static_cast<double>(this->scenario.upstreams);
    if (allowed > 0) result.used = static_cast<double>(used) / allowed;
    result.refused = static_cast<double>(this->refusals) /
                     static_cast<double>(this->requests);
    result.datagrams_per_vm =
        static_cast<double>(this->datagrams) /
        (static_cast<double>(this->scenario.run_ms) / 1000) /
        static_cast<double>(this->vms.size());
    return result;
  }

  Scenario scenario;
  std::mt19937_64 random;
  std::priority_queue<Event> events;
  std::int64_t now = 0;  // us
  std::uint64_t number = 0;
  std::int64_t requests = 0;
  std::int64_t refusals = 0;
  std::int64_t datagrams = 0;
  bool partitioned = false;
  std::vector<std::vector<std::int64_t>> arrivals;  // ms, by upstream
  std::vector<std::int64_t> announced_ms;  // first announcement, by upstream
  std::vector<Vm> vms;
};

Result RunScenario(const char* name, const Scenario& scenario) {
  const Result result = Fleet(scenario).Run();
  MESSAGE(std::string(name)
          << ": " << scenario.vms << " VMs, " << scenario.upstreams
          << " upstreams of " << scenario.limit << "/s, seed " << scenario.seed
          << ": worst " << result.worst << " of the bound, used " << result.used
          << " of the limit, refused " << result.refused
          << ", datagrams a second and VM " << result.datagrams_per_vm);
  return result;
}

// More seeds by RATE_LIMIT_SEEDS.
std::uint64_t Seeds() {
  const char* text = std::getenv("RATE_LIMIT_SEEDS");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

template <typename Check>
void ForEachFleet(const Check& check) {
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    for (const std::size_t vms : {1, 8, 78, 195, 390}) {
      Scenario scenario;
      scenario.vms = vms;
      scenario.seed = seed;
      check(scenario);
    }
  }
}

// Guards against fleets that send an upstream more than it announced, and
// against ones that leave its capacity unused while callers are refused.
TEST_CASE("a fleet of any size keeps upstreams' rate limits and uses them") {
  ForEachFleet([](Scenario scenario) {
    for (const double limit : {0.0, 0.4, 3.2, 60.0}) {
      scenario.limit = limit;
      if (limit > 10) scenario.upstreams = 3;
      const Result result = RunScenario("steady", scenario);
      CHECK(result.worst <= 1);
      if (limit >= 3) CHECK(result.used >= 0.75);
    }
  });
}

TEST_CASE("rate limits are kept while VMs are killed and stopped") {
  ForEachFleet([](Scenario scenario) {
    scenario.killed = 0.2;
    scenario.stopped = 0.2;
    scenario.loss = 0.05;
    const Result result = RunScenario("killed and stopped", scenario);
    CHECK(result.worst <= 1);
    if (scenario.vms > 1) CHECK(result.used >= 0.6);
  });
}

TEST_CASE("rate limits are kept while half of the VMs can't reach the others") {
  ForEachFleet([](Scenario scenario) {
    scenario.partition = true;
    const Result result = RunScenario("partition", scenario);
    CHECK(result.worst <= 1);
    CHECK(result.used >= 0.6);
  });
}

TEST_CASE("a limit is used after a third of the VMs are lost for good") {
  ForEachFleet([](Scenario scenario) {
    scenario.killed_for_good = 0.33;
    if (scenario.vms == 1) return;
    const Result result = RunScenario("lost for good", scenario);
    CHECK(result.worst <= 1);
    CHECK(result.used >= 0.6);
  });
}

TEST_CASE("the bound is broken by VMs that ignore limits or keep them alone") {
  Scenario scenario;
  scenario.mode = Mode::kIgnored;
  CHECK(RunScenario("ignored", scenario).worst > 1);
  scenario.mode = Mode::kEachVmAlone;
  CHECK(RunScenario("each VM alone", scenario).worst > 1);
}

}  // namespace
}  // namespace hornbeamspool::policy
