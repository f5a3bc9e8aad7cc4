#include "GossipQueue.h"

namespace teaselhitch {

void GossipQueue::add(const GossipItem &Item, std::uint32_t Sent) {
  remove(Item);
  auto It = Items.emplace(Item, Progress{Sent, ++LastInsertionId}).first;
  Order.insert({Sent, LastInsertionId, &It->first});
}

void GossipQueue::remove(const GossipItem &Item) {
  auto It = Items.find(Item);
  if (It == Items.end())
    return;
  Order.erase({It->second.Sent, It->second.InsertionId, &It->first});
  Items.erase(It);
}

void GossipQueue::noteDuplicate(const GossipItem &Item, std::uint32_t Limit) {
  countSent(Item, DuplicateWeight, Limit);
}

void GossipQueue::countSent(const GossipItem &Item, std::uint32_t Copies,
                            std::uint32_t Limit) {
  auto It = Items.find(Item);
  if (It == Items.end())
    return;
  Progress &P = It->second;
  if (P.Sent + Copies >= Limit) {
    remove(Item);
    return;
  }
  Order.erase({P.Sent, P.InsertionId, &It->first});
  P.Sent += Copies;
  Order.insert({P.Sent, P.InsertionId, &It->first});
}

} // namespace teaselhitch
