// Example of the coordination library: three printers share a stock of labels.
// Each printer has a grant of labels and prints from it without asking the
// others; together they never print more than the stock.
#include <array>
#include <iostream>
#include <string>
#include <string_view>

#include "coordination/escrow.h"
#include "coordination/rendezvous.h"

using hornbeamspool::coordination::EscrowLedger;
using hornbeamspool::coordination::GrantAccount;
using hornbeamspool::coordination::GrantChange;
using hornbeamspool::coordination::GrantDemand;
using hornbeamspool::coordination::RendezvousOwner;

int main() {
  constexpr std::array<std::string_view, 3> kPrinters{"east", "north", "west"};
  EscrowLedger stock{500, 0};
  std::array<GrantAccount, kPrinters.size()> accounts;
  std::int64_t printed = 0;
  for (int order = 0; order < 200; ++order) {
    // All printers compute the same owner of an order, without a message.
    const std::size_t printer =
        *RendezvousOwner("order-" + std::to_string(order), kPrinters);
    GrantAccount& account = accounts.at(printer);
    if (!account.Reserve(4)) {
      GrantDemand demand;
      demand.needed = 4;
      demand.units_per_second = 1;
      demand.ungranted = stock.Ungranted();
      demand.holders = kPrinters.size();
      demand.horizon = std::chrono::seconds(30);
      const std::int64_t amount = GrantChange(demand);
      const auto next = stock.AfterGrant(amount);
      if (amount <= 0 || !next) continue;
      stock = *next;  // a real issuer stores it with a conditional write
      account.Add(amount);
      if (!account.Reserve(4)) continue;
    }
    printed += account.Settle(4, 3);
  }
  std::cout << "printed " << printed << " of " << stock.total << " labels\n";
  return printed <= stock.total ? 0 : 1;
}
