#include "coordination/runtime/version.h"

namespace rushtrestle::coordination {

const char* program_version() { return RUSHTRESTLE_VERSION; }

}  // namespace rushtrestle::coordination
