// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/soak/SoakFaults.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <numeric>

namespace courseloom::test {

namespace {

/** Time after the last fault of the replicas until another disk may be lost: a replica has to join, catch up and be
 * promoted. */
constexpr Duration DiskLossInterval = milliseconds(6000);
/** A planned stop has to end within this time. */
constexpr Duration StopLimit = milliseconds(10000);
constexpr Duration StopPoll = milliseconds(50);

}  // namespace

SoakFaults::SoakFaults(SoakCluster& cluster, Disturbances& disturbances, std::uint64_t seed, FaultDraw draw)
    : m_cluster(cluster),
      m_disturbances(disturbances),
      m_random(seed),
      m_draw(draw),
      m_next(m_startedAt + milliseconds(1500)) {}

void SoakFaults::note(const std::string& text) {
  const auto ms = (BootClock::now() - m_startedAt).count() / 1000;
  m_log.push_back(std::to_string(ms) + " ms: " + text);
}

void SoakFaults::schedule(Duration after, std::function<void()> action) {
  m_delayed.emplace(BootClock::now() + after, std::move(action));
}

void SoakFaults::step() {
  while (!m_delayed.empty() && m_delayed.begin()->first <= BootClock::now()) {
    const std::function<void()> action = std::move(m_delayed.begin()->second);
    m_delayed.erase(m_delayed.begin());
    action();
  }
  if (m_healing || BootClock::now() < m_next) return;
  m_next = BootClock::now() + pickMs(20, 900);
  begin();
}

void SoakFaults::begin() {
  static const std::vector<Kind> first{
      {6, &SoakFaults::killOne},       {1, &SoakFaults::killAllControl}, {5, &SoakFaults::stopOne},
      {1, &SoakFaults::stopAllOfKind}, {4, &SoakFaults::pauseOne},       {2, &SoakFaults::sendHangUps},
      {2, &SoakFaults::wipeDisk},      {2, &SoakFaults::tearDisk},       {6, &SoakFaults::disturbLink},
      {2, &SoakFaults::resetLinks},    {4, &SoakFaults::disturbTarget},  {2, &SoakFaults::drainTarget}};
  static const std::vector<Kind> orders = [] {
    std::vector<Kind> more = first;
    more.push_back({3, &SoakFaults::refuseOrders});
    more.push_back({3, &SoakFaults::delayOrders});
    more.push_back({4, &SoakFaults::refuseAndDelayOrders});
    more.push_back({4, &SoakFaults::crashWithLateHeartbeats});
    return more;
  }();
  static const std::vector<Kind> incarnations = [] {
    std::vector<Kind> more = orders;
    more.push_back({6, &SoakFaults::restartUnderSameIdentity});
    more.push_back({4, &SoakFaults::restartDuringDelayedOrders});
    return more;
  }();
  static const std::vector<Kind> silence = [] {
    std::vector<Kind> more = incarnations;
    more.push_back({6, &SoakFaults::silenceConnections});
    return more;
  }();
  static const std::map<FaultDraw, const std::vector<Kind>*> draws{
      {FaultDraw::First, &first},     {FaultDraw::Orders, &orders},   {FaultDraw::Incarnations, &incarnations},
      {FaultDraw::Silence, &silence}, {FaultDraw::Crashes, &silence}, {FaultDraw::LateOrders, &silence}};
  const std::vector<Kind>& kinds = *draws.at(m_draw);
  const unsigned all =
      std::accumulate(kinds.begin(), kinds.end(), 0U, [](unsigned sum, const Kind& kind) { return sum + kind.weight; });
  unsigned drawn = pick(1, all);
  for (const Kind& kind : kinds) {
    if (drawn <= kind.weight) return (this->*kind.begin)();
    drawn -= kind.weight;
  }
}

void SoakFaults::heal() {
  m_healing = true;
  note("healing");
  m_cluster.links().heal();
  if (m_draw == FaultDraw::First) return;
  for (unsigned target = 1; target <= m_cluster.size().targets; ++target) {
    postToTarget(target, "/refuse?ms=0");
    postToTarget(target, "/late?ms=0");
  }
}

// ---- processes

unsigned SoakFaults::countOf(const std::string& kind) const {
  if (kind == "control") return m_cluster.size().control;
  return kind == "entry" ? m_cluster.size().entries : m_cluster.size().targets;
}

std::string SoakFaults::anyOf(const std::string& kind) { return kind + "-" + std::to_string(pick(1, countOf(kind))); }

std::string SoakFaults::anyDaemon() {
  static const std::vector<std::string> kinds{"control", "control", "entry", "agent", "agent"};
  return anyOf(kinds[pick(0, static_cast<unsigned>(kinds.size()) - 1)]);
}

void SoakFaults::restart(const std::string& name) {
  m_cluster.start(name);
  m_states[name] = State::Running;
  m_disturbances.note(name);
}

void SoakFaults::kill(const std::string& name, Duration downFor, const std::function<void()>& whileDown) {
  if (m_states[name] == State::Down) return;
  if (name.rfind("control", 0) == 0) m_lastControlFault = BootClock::now() + downFor;
  m_disturbances.note(name);
  m_states[name] = State::Down;
  m_cluster.kill(name);
  if (whileDown) whileDown();
  schedule(downFor, [this, name] { restart(name); });
}

void SoakFaults::killOne() {
  const std::string name = anyDaemon();
  const Duration down = pickMs(0, 4000);
  note("kill " + name + " for " + std::to_string(down.count() / 1000) + " ms");
  kill(name, down);
}

void SoakFaults::killAllControl() {
  note("kill all control replicas");
  for (unsigned i = 1; i <= m_cluster.size().control; ++i) kill("control-" + std::to_string(i), pickMs(100, 900));
}

void SoakFaults::stop(const std::string& name) {
  if (m_states[name] != State::Running) return;
  note("stop " + name);
  m_states[name] = State::Stopping;
  if (name.rfind("control", 0) == 0) m_lastControlFault = BootClock::now();
  m_cluster.expectExit(name);
  m_cluster.process(name).signal(SIGTERM);
  // One in five is killed during its planned stop.
  if (pick(1, 5) == 1) {
    return schedule(pickMs(50, 800), [this, name] {
      if (m_states[name] == State::Stopping) kill(name, milliseconds(200));
    });
  }
  awaitStop(name, BootClock::now());
}

void SoakFaults::awaitStop(const std::string& name, Time begun) {
  if (m_states[name] != State::Stopping) return;
  const int code = m_cluster.alive(name) ? m_cluster.process(name).wait(milliseconds(1)) : 0;
  if (code < 0) {
    if (BootClock::now() < begun + StopLimit)
      return schedule(StopPoll, [this, name, begun] { awaitStop(name, begun); });
    m_violations.push_back(name + " does not end after SIGTERM");
    return kill(name, milliseconds(100));
  }
  if (code != 0) m_violations.push_back(name + " ended a planned stop with code " + std::to_string(code));
  m_states[name] = State::Down;
  schedule(pickMs(0, 2000), [this, name] { restart(name); });
}

void SoakFaults::stopOne() { stop(anyDaemon()); }

void SoakFaults::stopAllOfKind() {
  static const std::vector<std::string> kinds{"control", "entry", "agent"};
  const std::string& kind = kinds[pick(0, 2)];
  note("stop all of " + kind + " in turn");
  const Duration gap = pickMs(100, 1500);
  for (unsigned i = 1; i <= countOf(kind); ++i) {
    schedule(gap * i, [this, name = kind + "-" + std::to_string(i)] {
      if (!m_healing) stop(name);
    });
  }
}

void SoakFaults::pauseOne() {
  const std::string name = anyDaemon();
  if (m_states[name] != State::Running) return;
  const Duration length = pickMs(100, 6000);
  note("pause " + name + " for " + std::to_string(length.count() / 1000) + " ms");
  m_states[name] = State::Paused;
  m_disturbances.note(name);
  if (name.rfind("control", 0) == 0) m_lastControlFault = BootClock::now() + length;
  m_cluster.process(name).signal(SIGSTOP);
  schedule(length, [this, name] {
    if (m_states[name] != State::Paused) return;
    m_cluster.process(name).signal(SIGCONT);
    m_states[name] = State::Running;
    m_disturbances.note(name);
  });
}

void SoakFaults::sendHangUps() {
  const std::string name = anyDaemon();
  if (m_states[name] != State::Running) return;
  note("hang up " + name);
  for (unsigned i = 0; i < pick(1, 5); ++i) {
    schedule(milliseconds(30) * i, [this, name] {
      if (m_states[name] == State::Running) m_cluster.process(name).signal(SIGHUP);
    });
  }
}

// ---- disks

bool SoakFaults::mayLoseDisk() const {
  if (BootClock::now() < m_lastControlFault + DiskLossInterval) return false;
  for (unsigned i = 1; i <= m_cluster.size().control; ++i) {
    const auto state = m_states.find("control-" + std::to_string(i));
    if (state != m_states.end() && state->second != State::Running) return false;
  }
  return true;
}

void SoakFaults::wipeDisk() {
  if (!mayLoseDisk()) return;
  const std::string name = anyOf("control");
  note("lose the disk of " + name);
  kill(name, pickMs(0, 1500), [this, name] { m_cluster.wipe(name); });
}

void SoakFaults::tearDisk() {
  const std::string name = anyOf("control");
  if (m_states[name] == State::Down) return;
  note("kill " + name + " with a torn record at its disk's end");
  kill(name, pickMs(0, 1500), [this, name] { m_cluster.tearTail(name, m_random()); });
}

// ---- links

void SoakFaults::disturbLink() {
  const bool toTarget = pick(1, 3) == 1;
  const std::string to = toTarget ? anyOf("runner") : anyOf("control");
  const std::string from = toTarget || pick(1, 3) == 1 ? "*" : anyDaemon();
  const Duration length = pickMs(200, 7000);
  if (!toTarget) m_lastControlFault = std::max(m_lastControlFault, BootClock::now() + length);
  const unsigned how = pick(1, 4);
  note("link from " + from + " to " + to + " harmed, way " + std::to_string(how));
  const Duration delay = pickMs(5, 300);
  m_cluster.links().change(from, to, [how, delay](LinkRule& rule) {
    if (how == 1) rule.delay = delay;
    if (how == 2 || how == 4) rule.silentToServer = true;
    if (how == 3 || how == 4) rule.silentToCaller = true;
  });
  schedule(length, [this, from, to] { m_cluster.links().change(from, to, [](LinkRule& rule) { rule.heal(); }); });
}

void SoakFaults::resetLinks() {
  const std::string to = pick(1, 2) == 1 ? anyOf("control") : anyOf("runner");
  note("reset all connections to " + to);
  m_cluster.links().change("*", to, [](LinkRule& rule) { ++rule.resets; });
}

/** The ends get no reset, and new connections work: only a time-out or a probe of their own detects the failure. */
void SoakFaults::silenceConnections() {
  const std::string to = pick(1, 3) == 1 ? anyOf("runner") : anyOf("control");
  const std::string from = pick(1, 2) == 1 ? "*" : anyDaemon();
  const unsigned how = pick(1, 3);
  note("connections from " + from + " to " + to + " fall silent for good, way " + std::to_string(how));
  if (to.rfind("control", 0) == 0) m_lastControlFault = std::max(m_lastControlFault, BootClock::now());
  m_cluster.links().change(from, to, [how](LinkRule& rule) {
    if (how != 2) ++rule.silencesToServer;
    if (how != 1) ++rule.silencesToCaller;
  });
}

// ---- targets

void SoakFaults::postToTarget(unsigned target, const std::string& path) {
  send({m_cluster.runnerAddress(target), "POST", path, "", {}, milliseconds(500)});
}

void SoakFaults::disturbTarget() {
  const unsigned target = pick(1, m_cluster.size().targets);
  if (m_states["runner-" + std::to_string(target)] != State::Running) return;
  if (pick(1, 2) == 1) {
    note("target " + std::to_string(target) + " crashes");
    return postToTarget(target, "/crash");
  }
  const unsigned length = pick(100, 4000);
  note("target " + std::to_string(target) + " is silent for " + std::to_string(length) + " ms");
  postToTarget(target, "/mute?ms=" + std::to_string(length));
}

void SoakFaults::drainTarget() {
  const unsigned target = pick(1, m_cluster.size().targets);
  if (m_states["runner-" + std::to_string(target)] != State::Running) return;
  note("target " + std::to_string(target) + " leaves and comes back");
  postToTarget(target, "/drain");
  schedule(pickMs(500, 3000), [this, target] { postToTarget(target, "/crash"); });
}

void SoakFaults::refuse(unsigned target) {
  const std::string length = std::to_string(pick(300, 5000));
  const std::string percent = std::to_string(pick(30, 100));
  note("target " + std::to_string(target) + " refuses " + percent + "% of its orders for " + length + " ms");
  postToTarget(target, "/refuse?ms=" + length + "&percent=" + percent);
}

void SoakFaults::delay(unsigned target) {
  const std::string length = std::to_string(pick(300, 5000));
  const std::string percent = std::to_string(pick(20, 100));
  note("target " + std::to_string(target) + " carries " + percent + "% of its orders out late for " + length + " ms");
  postToTarget(target, "/late?ms=" + length + "&percent=" + percent);
}

void SoakFaults::refuseOrders() { refuse(pick(1, m_cluster.size().targets)); }

void SoakFaults::delayOrders() { delay(pick(1, m_cluster.size().targets)); }

/** Delays orders, and begins to refuse orders while some of the delayed ones are in transit. */
void SoakFaults::refuseAndDelayOrders() {
  const unsigned target = pick(1, m_cluster.size().targets);
  delay(target);
  schedule(pickMs(0, 1500), [this, target] {
    if (!m_healing) refuse(target);
  });
}

/** Heartbeats of the previous incarnation arrive while the present one registers or has runs; its agent may have been
 * restarted as well. */
void SoakFaults::crashWithLateHeartbeats() {
  const unsigned target = pick(1, m_cluster.size().targets);
  const std::string after = std::to_string(pick(100, 3000));
  const std::string times = std::to_string(pick(1, 3));
  note("target " + std::to_string(target) + " crashes, " + times + " of its heartbeats arrive " + after + " ms later");
  const std::string crash = "/crash?late=" + after + "&times=" + times;
  if (pick(1, 3) == 1) kill("agent-" + std::to_string(target), pickMs(0, 1000));
  if (pick(1, 4) > 1) return postToTarget(target, crash);
  postToTarget(target, "/drain");
  schedule(pickMs(200, 1500), [this, target, crash] { postToTarget(target, crash); });
}

/** Starts a new incarnation under the previous one's identity, with its agent alive or killed, while heartbeats of the
 * previous one still arrive. */
void SoakFaults::restartUnderSameIdentity() {
  const unsigned target = pick(1, m_cluster.size().targets);
  const std::string after = std::to_string(pick(50, 2000));
  const std::string times = std::to_string(pick(1, 3));
  note("target " + std::to_string(target) + " begins again under its identity, " + times +
       " heartbeats of the former life arrive " + after + " ms later");
  if (pick(1, 3) == 1) kill("agent-" + std::to_string(target), pickMs(0, 1000));
  postToTarget(target, "/crash?same=1&late=" + after + "&times=" + times);
}

/** Orders to one incarnation are executed by the following ones; up to two new incarnations start within about two
 * seconds. */
void SoakFaults::restartDuringDelayedOrders() {
  const unsigned target = pick(1, m_cluster.size().targets);
  delay(target);
  for (unsigned incarnations = pick(1, 2); incarnations > 0; --incarnations) {
    schedule(pickMs(100, 2000), [this, target] {
      if (m_healing) return;
      note("target " + std::to_string(target) + " begins again under its identity");
      postToTarget(target, "/crash?same=1");
    });
  }
}

}  // namespace courseloom::test
