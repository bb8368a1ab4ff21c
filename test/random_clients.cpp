// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Random clients whose submissions are due at once, so that those that are accepted also compete for the target.

#include "test/HostileClients.h"

using namespace courseloom;
using namespace courseloom::test;

Test(random_clients, random_clients) { playRandomClients(""); }
