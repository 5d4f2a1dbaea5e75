//===- Authenticator.cpp - HMAC over OpenSSL ------------------------------===//
#include "ragwort/wire/Authenticator.h"
#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

namespace ragwort::wire {

namespace {

struct MacContextDeleter {
  void operator()(EVP_MAC_CTX *Context) const { EVP_MAC_CTX_free(Context); }
};
using MacContext = std::unique_ptr<EVP_MAC_CTX, MacContextDeleter>;

MacContext makeContext(const std::string &Secret) {
  EVP_MAC *Mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  MacContext Context(EVP_MAC_CTX_new(Mac));
  EVP_MAC_free(Mac);
  char Digest[] = "SHA256";
  OSSL_PARAM Params[] = {
      OSSL_PARAM_construct_utf8_string("digest", Digest, 0),
      OSSL_PARAM_construct_end(),
  };
  const auto *Key = reinterpret_cast<const unsigned char *>(Secret.data());
  if (!EVP_MAC_init(Context.get(), Key, Secret.size(), Params))
    std::abort();
  return Context;
}

const unsigned char *bytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

struct Authenticator::Impl {
  struct Entry {
    uint8_t Id;
    MacContext Context;
  };
  std::vector<Entry> Entries;

  Tag compute(EVP_MAC_CTX *Context, std::string_view Session,
              std::string_view Payload) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
    size_t Length = 0;
    // A null key keeps the key of the first initialisation.
    EVP_MAC_init(Context, nullptr, 0, nullptr);
    EVP_MAC_update(Context, bytes(Session), Session.size());
    EVP_MAC_update(Context, bytes(Payload), Payload.size());
    EVP_MAC_final(Context, Digest.data(), &Length, Digest.size());
    Tag Result;
    std::copy_n(Digest.begin(), TagBytes, Result.begin());
    return Result;
  }
};

Authenticator::Authenticator(const Keyring &Keys)
    : State(std::make_unique<Impl>()) {
  if (Keys.empty())
    std::abort();
  for (const FrameKey &Key : Keys)
    State->Entries.push_back({Key.Id, makeContext(Key.Secret)});
}

Authenticator::~Authenticator() = default;
Authenticator::Authenticator(Authenticator &&) noexcept = default;
Authenticator &Authenticator::operator=(Authenticator &&) noexcept = default;

uint8_t Authenticator::signingKey() const { return State->Entries.front().Id; }

Tag Authenticator::sign(std::string_view Context, std::string_view Payload) {
  return State->compute(State->Entries.front().Context.get(), Context, Payload);
}

bool Authenticator::verify(uint8_t KeyId, std::string_view Context,
                           std::string_view Payload, const Tag &Expected) {
  for (Impl::Entry &Entry : State->Entries) {
    if (Entry.Id != KeyId)
      continue;
    Tag Actual = State->compute(Entry.Context.get(), Context, Payload);
    return CRYPTO_memcmp(Actual.data(), Expected.data(), TagBytes) == 0;
  }
  return false;
}

std::string randomBytes(size_t Count) {
  std::string Bytes(Count, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Bytes.data()),
                 static_cast<int>(Count)) != 1)
    std::abort();
  return Bytes;
}

uint64_t randomNumber() {
  uint64_t Number = 0;
  while (Number == 0) {
    std::string Bytes = randomBytes(sizeof(Number));
    std::memcpy(&Number, Bytes.data(), sizeof(Number));
  }
  return Number;
}

} // namespace ragwort::wire
