// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>

namespace courseloom {

/** \class ConnectionPlaces
 * \brief Limits the open connections of a server, so that they go to the peers that use them.
 *
 * At the limit a new connection takes the place of one that waits for its peer: first of the connection that has been
 * open without a request for the longest time, then of the one whose peer has kept a request or an answer
 * incomplete for the longest time. A connection whose call is being served keeps its place. All members may be called
 * on any thread.
 */
class ConnectionPlaces : public std::enable_shared_from_this<ConnectionPlaces> {
 public:
  /** What a connection waits for. */
  enum class State : std::uint8_t {
    KeptOpen,  ///< no call has begun since the connection was accepted or the last one was answered
    Peer,      ///< the peer has yet to send a whole request or to read an answer
    Server,    ///< a call is being served
  };

  /** \class Place
   * \brief The place of one connection; given back at destruction.
   */
  class Place {
   public:
    Place(std::shared_ptr<ConnectionPlaces> places, std::function<void()> close)
        : m_places(std::move(places)), m_close(std::move(close)) {}
    ~Place();
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    /** Records what the connection waits for from now on. \returns false if it has lost its place: it is being closed
     * and must not begin to serve a call */
    bool wait(State state);

   private:
    friend class ConnectionPlaces;
    std::shared_ptr<ConnectionPlaces> m_places;
    std::function<void()> m_close;
    State m_state = State::Peer;
    std::list<Place*>::iterator m_position{};
    bool m_taken = false;  ///< the place is counted
  };

  /** \param limit largest number of open connections */
  explicit ConnectionPlaces(std::size_t limit) : m_limit(limit) {}

  /** Takes a place for a new connection, which waits for its peer.
   * \param close closes the connection if it is still open; called at most once, on any thread
   * \returns null if all connections are being served */
  std::unique_ptr<Place> take(std::function<void()> close);
  /** Closes the connection whose peer has kept a request or an answer incomplete for the longest time, so that its
   * memory becomes free. \returns whether there was one */
  bool closeLongestIncomplete();

 private:
  std::list<Place*>& listOf(State state);
  void leave(Place& place);
  std::function<void()> removeFirst(std::list<Place*>& list);

  const std::size_t m_limit;
  mutable std::mutex m_mutex;
  std::list<Place*> m_keptOpen;  ///< in the order in which they began to wait, like the other lists
  std::list<Place*> m_peer;
  std::list<Place*> m_server;
};

}  // namespace courseloom
