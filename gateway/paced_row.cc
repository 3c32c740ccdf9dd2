#include "gateway/paced_row.h"

#include <utility>

#include "gateway/spawn.h"
#include "platform/single_writer_row.h"

namespace hornbeamspool::gateway {

PacedRow::PacedRow(const Context& context, platform::StoreClient& store,
                   std::string task, std::string table, std::string key)
    : context(context),
      store(&store),
      task(std::move(task)),
      table(std::move(table)),
      key(std::move(key)) {}

bool PacedRow::MayWrite(coordination::TimePoint now) const {
  return !this->writing && now - this->written_at >= kWriteInterval;
}

void PacedRow::Write(std::string value, coordination::TimePoint now,
                     std::function<void()> on_failed) {
  this->writing = true;
  this->written_at = now;
  const auto recover = [this, on_failed] {
    this->writing = false;
    on_failed();
  };
  Spawn(this->context, this->task,
        this->Run(std::move(value), std::move(on_failed)), recover);
}

http::Task<void> PacedRow::Run(std::string value,
                               std::function<void()> on_failed) {
  const bool stored = co_await platform::UpsertRow(*this->store, this->table,
                                                   this->key, std::move(value));
  this->writing = false;
  if (!stored) on_failed();
}

}  // namespace hornbeamspool::gateway
