#include "proxy/output_queue.h"

#include <algorithm>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace fulmarwinch {

namespace {

/// Capacity that a buffer of a connection keeps while it is empty.
constexpr std::size_t KeptBufferBytes = std::size_t{16} * 1024;

} // namespace

void OutputQueue::appendBody(ReservedBytes Body) {
  if (Body.m_Bytes.size() <= KeptBufferBytes) {
    m_Next += Body.m_Bytes;
    return;
  }
  m_Body = std::move(Body.m_Bytes);
  m_BodyReservation = std::move(Body.m_Reservation);
}

std::string_view OutputQueue::next() {
  if (m_Current.empty())
    m_Current.swap(m_Next);
  if (m_Current.empty())
    m_Current.swap(m_Body);
  return std::string_view(m_Current).substr(m_SentOfCurrent);
}

bool OutputQueue::onSent(std::size_t Size) {
  m_SentBytes += Size;
  m_SentOfCurrent += Size;
  if (m_SentOfCurrent < m_Current.size())
    return false;
  m_SentOfCurrent = 0;
  m_Current.clear();
  shrinkIfEmpty(m_Current);
  if (m_Body.empty())
    m_BodyReservation.set(0);
  m_IsProgressKnown = m_IsProgressKnown && size() > 0;
  return true;
}

std::uint64_t OutputQueue::takenBytes(int Socket) const {
  int Unacknowledged = 0;
  if (::ioctl(Socket, SIOCOUTQ, &Unacknowledged) != 0)
    return 0;
  return m_SentBytes -
         std::min(m_SentBytes, static_cast<std::uint64_t>(Unacknowledged));
}

MonotonicTime OutputQueue::stalledSince(int Socket, MonotonicTime Now) {
  if (m_IsProgressKnown)
    m_Progress.update(takenBytes(Socket), Now);
  else
    m_Progress.restart(takenBytes(Socket), Now);
  m_IsProgressKnown = true;
  return m_Progress.stalledSince();
}

void shrinkIfEmpty(std::string &Buffer) {
  if (Buffer.empty() && Buffer.capacity() > KeptBufferBytes)
    std::string().swap(Buffer);
}

} // namespace fulmarwinch
