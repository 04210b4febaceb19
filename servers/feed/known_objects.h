#ifndef FULMARWINCH_SERVERS_FEED_KNOWN_OBJECTS_H
#define FULMARWINCH_SERVERS_FEED_KNOWN_OBJECTS_H

#include "core/object_feed.h"

#include <map>
#include <string>
#include <utility>

namespace fulmarwinch {

/// Objects of one kind by name, each with its decoded content. A listing that
/// may be outdated removes none of them: a store that has returned from a copy
/// lacks those that were written since the copy was made, until their writers
/// have written them again.
template <typename ContentType> class KnownObjects {
public:
  using Map = std::map<std::string, ContentType>;

  void replaceAll(Map Listed, ListingTrust Trust) {
    if (Trust == ListingTrust::MayBeOutdated)
      Listed.merge(m_Objects);
    m_Objects = std::move(Listed);
  }
  void set(const std::string &Name, ContentType Content) {
    m_Objects.insert_or_assign(Name, std::move(Content));
  }
  void remove(const std::string &Name) { m_Objects.erase(Name); }
  const Map &objects() const { return m_Objects; }

private:
  Map m_Objects;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_FEED_KNOWN_OBJECTS_H
