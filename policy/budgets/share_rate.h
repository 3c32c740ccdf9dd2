// The rate limit that a share of a budget is written with.
#pragma once

#include <chrono>
#include <cstdint>

#include "coordination/time.h"
#include "policy/budget_share.h"

namespace hornbeamspool::policy {

// The rate limit that a share is written with, derived from the demand.
//
// A process that is killed strands what the rate limit allowed it to spend
// between its checkpoint and the start of its successor. If that is more than
// `max_stranded_fraction` of the tokens left, the rate just after the
// checkpoint is lowered. Requests then wait at the start of a store outage.
struct ShareRateOptions {
  double burst_seconds = 0.7;  // the burst, in seconds of the demand
  double rate_factor = 1.5;    // the rate, as a multiple of the demand
  // How long the lower rate applies: the successor of a killed process has
  // started within this time.
  coordination::Duration initial_rate_time = std::chrono::milliseconds(2500);
  // Of the tokens left, how much a killed process may strand.
  double max_stranded_fraction = 0.05;
  // Minimum of the lowered rate and burst, relative to the full ones.
  double min_initial_rate_fraction = 0.15;
  // Of the tokens left, how much a process may strand whose successor starts
  // only `late_restart_time` after the checkpoint: VMs that were killed have
  // come back after 3.5 s, and checkpoints are up to 0.5 s old.
  double max_late_stranded_fraction = 0.15;
  coordination::Duration late_restart_time = std::chrono::milliseconds(4500);
  // Minimum of the rate after the initial one, as a multiple of the demand: as
  // requests wait, an outage under twice the demand refuses no more than with
  // the full rate.
  double min_catch_up_factor = 2;
};

// What the rate limit of a share is derived from.
struct ShareRateInputs {
  double demand_per_second = 0;
  std::int64_t left = 0;     // tokens of the budget that are not spent
  std::int64_t unspent = 0;  // tokens of the share
  // Minimum of the burst, and what waiting requests need beyond it.
  std::int64_t min_burst = 0;
  std::int64_t shortfall = 0;
};

// The rate just after a checkpoint, relative to the full rate. 1 unless a kill
// could strand too much of what is left.
double InitialRateFraction(const ShareRateOptions& options,
                           const ShareRateInputs& inputs);

// The rate at which the cap rises after the initial rate, in tokens a second. 0
// if a kill with a long downtime strands little of what is left.
std::int64_t CatchUpRate(const ShareRateOptions& options,
                         const ShareRateInputs& inputs);

// Sets the burst and the rates of `share`.
void SetShareRate(const ShareRateOptions& options,
                  const ShareRateInputs& inputs, BudgetShare& share);

}  // namespace hornbeamspool::policy
