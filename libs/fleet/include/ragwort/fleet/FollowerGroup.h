//===- FollowerGroup.h - Followers of one store share what they learn -----===//
//
// A process follows several tables over one connection each. When the store
// was away, each connection may have lost its answer, but a poll with a long
// timeout shows this late. So the first follower that reaches the store again
// makes the others repeat the calls that they have in progress.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_FLEET_FOLLOWERGROUP_H
#define RAGWORT_FLEET_FOLLOWERGROUP_H

#include <algorithm>
#include <vector>

namespace ragwort::fleet {

/// A member of a FollowerGroup.
class GroupedFollower {
public:
  virtual ~GroupedFollower() = default;
  /// The store has answered another member after a loss. A call that is in
  /// progress began before that.
  virtual void onStoreReturned() = 0;
};

/// The followers in one process of the tables of one store. All calls must come
/// from one thread.
///
/// \code
///   FollowerGroup Followers;
///   TableFollower Rows(Io, Store, Followers, "rows", Sink, Timing, Seed);
/// \endcode
class FollowerGroup {
public:
  void add(GroupedFollower &Member) { Members.push_back(&Member); }
  void remove(GroupedFollower &Member) { std::erase(Members, &Member); }

  /// \p Member has reached the store again, which it had lost.
  void announceReturn(const GroupedFollower &Member) {
    for (GroupedFollower *Each : Members)
      if (Each != &Member)
        Each->onStoreReturned();
  }

private:
  std::vector<GroupedFollower *> Members;
};

} // namespace ragwort::fleet

#endif
