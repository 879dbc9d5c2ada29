// Calls to the cloud provider and its replies.
#pragma once
#include <string>
#include <vector>

#include "store/domain.h"

namespace rushtrestle::coordination {

/// A machine as the cloud lists it.
struct CloudMachine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  enum class State { booting, running, failed } state = State::booting;
  double age_s = 0;
};

// ---- calls ----

struct ListMachineTypes {};
/// Asks for `count` machines. `request` is an idempotency key: the cloud carries out each at most
/// once, however often it is sent.
struct ProvisionMachines {
  std::string request;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};
struct DeleteMachines {
  std::vector<std::string> machines;
};
/// Asks for a page of the machine list, starting behind the machine `after`; empty: at the start.
struct ListMachines {
  std::string after;
};

// ---- replies ----

struct MachineTypesReply {
  std::vector<store::MachineType> types;
};
struct ProvisionReply {
  std::vector<std::string> machines;
};
struct ListMachinesReply {
  std::vector<CloudMachine> machines;
  bool more = false;  // further pages follow
};

}  // namespace rushtrestle::coordination
