#include "teaselhitch/Platform/TableRequests.h"

namespace teaselhitch {

namespace {

/// Converts the error of a failed operation to a status. A write whose answer
/// is missing or does not parse may have taken effect.
TableStatus failureStatus(const TableRequest &Request, ErrorCode Code) {
  if (Code == ErrorCode::Conflict)
    return TableStatus::Conflict;
  if (Request.Operation == TableOperation::Read)
    return TableStatus::Unavailable;
  if (Code == ErrorCode::Timeout || Code == ErrorCode::Corrupt)
    return TableStatus::Unknown;
  return TableStatus::Unavailable;
}

Result<TableReply> runRead(TableStore &Store, const TableRequest &Request) {
  BOOST_LEAF_AUTO(Row, Store.read(Request.Table, Request.Key));
  if (!Row)
    return TableReply{
        Request.Token, TableStatus::NotFound, {Request.Key, "", 0}};
  return TableReply{Request.Token, TableStatus::Ok, std::move(*Row)};
}

Result<TableReply> runWrite(TableStore &Store, const TableRequest &Request) {
  BOOST_LEAF_AUTO(Version,
                  Request.Operation == TableOperation::Insert
                      ? Store.insert(Request.Table, Request.Key, Request.Value)
                      : Store.replace(Request.Table, Request.Key, Request.Value,
                                      Request.ExpectedVersion));
  return TableReply{
      Request.Token, TableStatus::Ok, {Request.Key, Request.Value, Version}};
}

} // namespace

TableReply runTableRequest(TableStore &Store, const TableRequest &Request) {
  return handleError(
      [&] {
        return Request.Operation == TableOperation::Read
                   ? runRead(Store, Request)
                   : runWrite(Store, Request);
      },
      [&](const Error &E) {
        return TableReply{Request.Token,
                          failureStatus(Request, E.Code),
                          {Request.Key, "", 0}};
      });
}

} // namespace teaselhitch
