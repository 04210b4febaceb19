#include "core/error.h"
#include "servers/configuration/configuration_entry.h"
#include "servers/configuration/configuration_head.h"
#include "servers/configuration/configuration_view.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>

namespace fulmarwinch {

namespace {

ConfigurationChange zoneChange(ConfigurationRevision Revision,
                               const std::string &Name, bool InService) {
  return {Revision,
          "p" + std::to_string(Revision),
          "ana",
          0,
          {{{EntryKind::Zone, Name}, toJson(Zone{Name, InService}).dump()}}};
}

ConfigurationView::Pointer viewAt(ConfigurationRevision Revision) {
  ConfigurationView::Pointer View = ConfigurationView::makeEmpty();
  while (View->revision() < Revision)
    View = *View->withChange(zoneChange(
        View->revision() + 1, "z" + std::to_string(View->revision() % 7),
        View->revision() % 2 == 0));
  return View;
}

} // namespace

class ConfigurationEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationEntriesTest);
  CPPUNIT_TEST(parseErrorShowsPathValueAllowedAndRemedy);
  CPPUNIT_TEST(everyEntryKindRoundTripsThroughJson);
  CPPUNIT_TEST(viewRefusesChangeThatIsNotNextRevision);
  CPPUNIT_TEST(viewFromSnapshotEqualsViewFromChanges);
  CPPUNIT_TEST(headWithRevisionGapIsRefused);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against error messages that do not tell which field of which entry
  /// is wrong, and against messages that contain a key in plain text.
  void parseErrorShowsPathValueAllowedAndRemedy() {
    const std::pair<const char *, const char *> Cases[] = {
        {R"({"kind":"zone","name":"a"})",
         "entries[0].inService: found nothing, allowed true or false; "
         "add the key"},
        {R"({"kind":"zone","name":"a","inService":1})",
         "entries[0].inService: found 1, allowed true or false; "
         "correct the value"},
        {R"({"kind":"zone","name":"a","inService":true,"x":1})",
         "entries[0].x: found an unknown key, allowed the keys inService, "
         "kind, name; remove the key or correct its spelling"},
        {R"({"kind":"vm_drain","name":"a/b"})",
         "entries[0].name: found \"a/b\", allowed letters, digits, '.', '_' "
         "and '-'; choose another name"},
        {R"({"kind":"deployment","name":"a","model":"m","version":"1",
             "contextLength":18446744073709551615,"vmsPerGroup":1,
             "replicas":1,"engineChecksFencing":true})",
         "entries[0].contextLength: found 18446744073709551615, allowed an "
         "integer from 1 to 100000000; correct the value"},
        {R"({"kind":"operator","name":"a","keySha256":"secret",
             "role":"admin"})",
         "entries[0].keySha256: found another text, allowed 64 lower-case "
         "hexadecimal digits; store the SHA-256 of the key, not the key"},
        {R"({"kind":"service","name":"a","nonIdempotentRoutes":
             [{"method":"POST","pathPrefix":"pay"}]})",
         "entries[0].nonIdempotentRoutes[0].pathPrefix: found \"pay\", "
         "allowed a path that starts with '/'; add the leading '/'"},
        {R"({"kind":"tree","name":"a"})",
         "entries[0].kind: found \"tree\", allowed deployment, service, "
         "organisation, zone, vm_drain or operator; choose one of these "
         "kinds"}};
    for (const auto &[Text, Message] : Cases) {
      const auto Entry = parseEntry(Json::parse(Text), "entries[0]");
      CPPUNIT_ASSERT(!Entry.ok());
      CPPUNIT_ASSERT(errorKind(Entry.status()) == ErrorKind::InvalidArgument);
      CPPUNIT_ASSERT_EQUAL(std::string(Message),
                           std::string(Entry.status().message()));
    }
  }

  /// Guards against a field that is parsed but lost when the entry is stored.
  void everyEntryKindRoundTripsThroughJson() {
    const std::string Sha(64, 'a');
    const ConfigurationValue Values[] = {
        Deployment{"d", "m", "2", {"x"}, 8000, 4, 3, 7, true, 2.5, 0.5, {"a"}},
        Service{"s", {"127.0.0.1:1"}, {{"POST", "/pay"}}, 500},
        Organisation{"o", {Sha}, 2, 10, 1000, 3},
        Zone{"z", false},
        VmDrain{"v"},
        Operator{"p", Sha, OperatorRole::Admin}};
    for (const ConfigurationValue &Value : Values) {
      const Json Canonical = toJson(Value);
      const auto Reparsed = parseEntry(Canonical, "entry");
      CPPUNIT_ASSERT(Reparsed.ok());
      CPPUNIT_ASSERT_EQUAL(Canonical.dump(), toJson(*Reparsed).dump());
      CPPUNIT_ASSERT(Reparsed->index() == Value.index());
    }
  }

  /// Guards against a skipped change and against a change that is applied
  /// twice.
  void viewRefusesChangeThatIsNotNextRevision() {
    const auto View = viewAt(3);
    CPPUNIT_ASSERT(!View->withChange(zoneChange(3, "a", false)).ok());
    CPPUNIT_ASSERT(!View->withChange(zoneChange(5, "a", false)).ok());
    const auto Next = View->withChange(zoneChange(4, "a", false));
    CPPUNIT_ASSERT(Next.ok());
    CPPUNIT_ASSERT(!(*Next)->isZoneInService("a"));
    CPPUNIT_ASSERT(View->isZoneInService("a"));
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(4),
                         *(*Next)->revisionOfPlan("p4"));
  }

  /// Guards against nodes whose configurations differ at the same revision
  /// because one of them started from a snapshot. Also checks that a removed
  /// entry is erased after RetainedRevisions revisions.
  void viewFromSnapshotEqualsViewFromChanges() {
    auto Removal = zoneChange(RetainedRevisions / 2, "gone", true);
    Removal.m_Entries[0].m_JsonText.clear();
    auto FromChanges = *viewAt(Removal.m_Revision - 1)->withChange(Removal);
    auto FromSnapshot = *ConfigurationView::decode(FromChanges->encode());
    CPPUNIT_ASSERT_EQUAL(Removal.m_Revision,
                         FromSnapshot->revisionOf({EntryKind::Zone, "gone"}));
    for (auto Revision = Removal.m_Revision + 1;
         Revision <= Removal.m_Revision + RetainedRevisions; ++Revision) {
      FromChanges = *FromChanges->withChange(zoneChange(Revision, "a", true));
      FromSnapshot = *FromSnapshot->withChange(zoneChange(Revision, "a", true));
    }
    CPPUNIT_ASSERT_EQUAL(FromChanges->encode(), FromSnapshot->encode());
    CPPUNIT_ASSERT(!FromChanges->find({EntryKind::Zone, "gone"}));
  }

  /// Guards against a damaged head, or one with missing changes, being applied.
  void headWithRevisionGapIsRefused() {
    ConfigurationHead Head{7, 5, "w", 1, {}};
    Head.m_Changes = {zoneChange(6, "a", false), zoneChange(7, "b", false)};
    CPPUNIT_ASSERT(decodeHead(encodeHead(Head)).ok());
    Head.m_Changes[1].m_Revision = 8;
    CPPUNIT_ASSERT(!decodeHead(encodeHead(Head)).ok());
    Head.m_Changes.pop_back();
    CPPUNIT_ASSERT(!decodeHead(encodeHead(Head)).ok());
    CPPUNIT_ASSERT(!decodeHead("{").ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationEntriesTest);

} // namespace fulmarwinch
