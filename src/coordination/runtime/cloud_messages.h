// Calls to the cloud and its replies.
#pragma once
#include <string>
#include <vector>

#include "store/domain.h"

namespace rushtrestle::coordination {

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
/// At most once for each `request`, however often it is sent.
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
/// A page of the list, from the machine after `after` on.
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
  bool more = false;
};

}  // namespace rushtrestle::coordination
