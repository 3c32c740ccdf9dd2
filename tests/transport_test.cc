#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "transport/crash_message.h"
#include "transport/heartbeat.h"
#include "transport/prompt_message.h"
#include "transport/seal.h"

namespace hornbeamspool::transport {
namespace {

constexpr std::string_view kKey = "0123456789abcdef";

Heartbeat FullHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.sent_at = {12, 3};
  heartbeat.sender.name = "router-1-with-a-long-name";
  heartbeat.sender.availability_zone = "zone-a";
  heartbeat.sender.peer_address = "192.0.2.100:17101";
  heartbeat.sender.operator_address = "192.0.2.100:19101";
  heartbeat.sender.config_epoch = 9;
  heartbeat.sample.assign(8, heartbeat.sender);
  return heartbeat;
}

TEST_CASE("a heartbeat comes back as it was, and fits a datagram") {
  const std::string sealed = Seal(kKey, EncodeHeartbeat(FullHeartbeat()));
  CHECK_LE(sealed.size(), kMaxDatagramBytes);
  const auto payload = Unseal(kKey, sealed);
  REQUIRE(payload);
  const auto heartbeat = DecodeHeartbeat(*payload);
  REQUIRE(heartbeat);
  CHECK_EQ(heartbeat->sender.name, "router-1-with-a-long-name");
  CHECK_EQ(heartbeat->sample.size(), 8);
  CHECK_EQ(heartbeat->sent_at.counter, 3);
}

TEST_CASE("a changed byte or another key is refused") {
  const std::string sealed = Seal(kKey, EncodeHeartbeat(FullHeartbeat()));
  CHECK_FALSE(Unseal("another key 1234", sealed));
  for (std::size_t i = 0; i < sealed.size(); i += 7) {
    std::string changed = sealed;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    CHECK_FALSE(Unseal(kKey, changed));
  }
}

TEST_CASE("bytes that are no heartbeat are refused whole") {
  std::mt19937 random(7);
  const std::string sound = EncodeHeartbeat(FullHeartbeat());
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = sound;
    const std::size_t changes = 1 + random() % 8;
    for (std::size_t j = 0; j < changes; ++j) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % (bytes.size() + 1));
    // Whatever it says, it ends and stays within bounds.
    const auto heartbeat = DecodeHeartbeat(bytes);
    if (heartbeat) CHECK_LE(heartbeat->sample.size(), kMaxDatagramBytes);
  }
}

TEST_CASE("digests") {
  CHECK_EQ(Sha256Hex("abc"),
           "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("a notice comes back as it was; other bytes are none") {
  CrashMessage message{"i-7", {}};
  message.fingerprints.assign(kMostFingerprints, 0x5c1e07a2U);
  const std::string text = EncodeCrashMessage(message);
  CHECK(text.size() < 1'300);
  const auto decoded = DecodeCrashMessage(text);
  REQUIRE(decoded);
  CHECK(decoded->upstream == "i-7");
  CHECK(decoded->fingerprints == message.fingerprints);
  CHECK_FALSE(DecodeCrashMessage("no message"));
  CHECK_FALSE(DecodeCrashMessage(text.substr(0, 40)));
}

TEST_CASE("a long prompt's notice comes back as it was; other bytes are none") {
  const std::string text = EncodePromptMessage({"i-7", 12'000});
  const auto decoded = DecodePromptMessage(text);
  REQUIRE(decoded);
  CHECK(decoded->upstream == "i-7");
  CHECK(decoded->prefill_tokens == 12'000);
  CHECK_FALSE(DecodePromptMessage(EncodePromptMessage({"i-7", -1})));
  CHECK_FALSE(DecodePromptMessage(EncodeCrashMessage({"i-7", {1}})));
}

}  // namespace
}  // namespace hornbeamspool::transport
