// Divides scarce capacity between organisations: each may use a share in
// proportion to its usual rate, and what some don't use is lent to the others.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class FairShares {
 public:
  // Each organisation is served at least at this fraction of the rate at which
  // all are served. The bound that callers rely on is 0.25.
  static constexpr double kFloor = 0.32;

  // Counts a request that asks for the resource.
  void Offer(std::string_view organisation, std::int64_t work,
             coordination::TimePoint now);
  // Counts a request that gets it. The usual rate follows what an organisation
  // gets and not what it asks for, so that a lasting burst does not acquire the
  // shares of others.
  void OnServed(std::string_view organisation, std::int64_t work);

  // The fraction of the organisation's work that has to yield when the fraction
  // `shed` of all offered work has to.
  double ShedFraction(std::string_view organisation, double shed,
                      coordination::TimePoint now);

  std::size_t Size() const { return this->entries.size(); }

 private:
  // Organisations beyond this number share one entry.
  static constexpr std::size_t kMaxOrganisations = 256;

  struct Entry {
    double demand = 0;  // offered work a second
    double usual = 0;   // served work a second
    double served = 1;  // fraction of the demand that its share covers
  };

  Entry& EntryOf(std::string_view organisation);
  void Refresh(double shed, coordination::TimePoint now);
  void Decay(coordination::TimePoint now);

  std::map<std::string, Entry, std::less<>> entries;
  double mean_work = 0;  // of a request
  double refreshed_shed = 0;
  coordination::TimePoint decayed_at{};
  coordination::TimePoint refreshed_at{};
};

}  // namespace hornbeamspool::policy
