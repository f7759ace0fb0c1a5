//! Queries for messages and calls.

use super::attempts::MAX_ATTEMPTS_PER_MESSAGE;
use crate::delivery::{EndpointId, Seq};
use crate::store::error::StoreError;
use crate::store::keys::{
    call_key, decode, decode_call_state, encode, key, key_part, sequence_key, KEY_END,
};
use crate::store::keyspace::{Keyspace, KeyspaceReader, ScanOrder, Table};
use crate::store::operations::{Filter, MessageDetails, Reply};
use crate::store::records::MessageRecord;

/// The number of rows that [`list_messages`] reads at a time.
const LIST_PAGE_ROWS: usize = 64;

/// Reads a message.
pub(super) fn read_message(
    reader: &dyn KeyspaceReader,
    seq: Seq,
) -> Result<Option<MessageRecord>, StoreError> {
    let bytes = reader.get(Table::Messages, &sequence_key(seq))?;
    bytes.map(|bytes| decode(&bytes, "a message")).transpose()
}

/// Writes a message.
pub(super) fn write_message(
    keyspace: &mut dyn Keyspace,
    seq: Seq,
    message: &MessageRecord,
) -> Result<(), StoreError> {
    keyspace
        .put(Table::Messages, &sequence_key(seq), &encode(message)?)
        .map(drop)
}

/// Reads the first waiting messages of an endpoint, and the due time of the message after them.
pub(super) fn fetch_due(
    reader: &dyn KeyspaceReader,
    endpoint: EndpointId,
    limit: usize,
) -> Result<Reply, StoreError> {
    let from = key(&[endpoint.0]);
    let to = key(&[endpoint.0, u64::MAX, u64::MAX]);
    let mut rows = reader.scan(Table::Waiting, &from, &to, limit + 1, ScanOrder::Ascending)?;
    let next_due = rows.get(limit).map(|(row_key, _)| key_part(row_key, 1));
    rows.truncate(limit);
    let waiting = rows
        .iter()
        .map(|(_, value)| decode(value, "what waits"))
        .collect::<Result<_, _>>()?;
    Ok(Reply::Due(waiting, next_due))
}

/// Lists the messages that match a filter and a predicate, the newest first.
pub(super) fn list_messages(
    reader: &dyn KeyspaceReader,
    filter: &Filter,
    predicate: impl Fn(&MessageRecord) -> bool,
) -> Result<Vec<MessageRecord>, StoreError> {
    let from = key(&[filter.serial]);
    let mut to = key(&[filter.serial, filter.before.map_or(u64::MAX, |seq| seq.0)]);
    let mut messages = Vec::new();
    while messages.len() < filter.limit {
        let order = ScanOrder::Descending;
        let page = reader.scan(Table::MessagesByTenant, &from, &to, LIST_PAGE_ROWS, order)?;
        let Some((last_key, _)) = page.last() else {
            break;
        };
        to = last_key.clone();
        for (row_key, _) in &page {
            let Some(message) = read_message(reader, Seq(key_part(row_key, 1)))? else {
                continue;
            };
            if filter.since.is_some_and(|since| message.created < since) {
                return Ok(messages);
            }
            let is_match = matches_filter(&message, filter) && predicate(&message);
            if is_match && messages.len() < filter.limit {
                messages.push(message);
            }
        }
    }
    Ok(messages)
}

fn matches_filter(message: &MessageRecord, filter: &Filter) -> bool {
    let Filter {
        state,
        kind,
        endpoint,
        ..
    } = filter;
    state
        .as_ref()
        .is_none_or(|state| message.state.name() == state)
        && kind.as_ref().is_none_or(|kind| message.kind == *kind)
        && endpoint.is_none_or(|endpoint| message.waiting.endpoint == endpoint)
}

/// Reads a message of a tenant with its attempts and body.
pub(super) fn get_message(
    reader: &dyn KeyspaceReader,
    seq: Seq,
    serial: u64,
) -> Result<Reply, StoreError> {
    let message = read_message(reader, seq)?.filter(|message| message.serial == serial);
    let Some(record) = message else {
        return Ok(Reply::Message(None));
    };
    let (from, to) = (sequence_key(seq), key(&[seq.0, u64::MAX]));
    let order = ScanOrder::Ascending;
    let rows = reader.scan(Table::Attempts, &from, &to, MAX_ATTEMPTS_PER_MESSAGE, order)?;
    let attempts = rows
        .iter()
        .map(|(_, value)| decode(value, "an attempt"))
        .collect::<Result<_, _>>()?;
    let body = reader
        .get(Table::Bodies, &sequence_key(seq))?
        .unwrap_or_default();
    Ok(Reply::Message(Some(Box::new(MessageDetails {
        record,
        attempts,
        body,
    }))))
}

/// Reads the state of a tenant's call.
pub(super) fn get_call(
    reader: &dyn KeyspaceReader,
    serial: u64,
    id: &str,
) -> Result<Reply, StoreError> {
    let bytes = reader.get(Table::CallStates, &call_key(serial, id))?;
    let state = bytes.map(|bytes| decode_call_state(&bytes)).transpose()?;
    Ok(Reply::Call(state))
}

/// Reads messages after a sequence number, the oldest first.
pub(super) fn export_messages(
    reader: &dyn KeyspaceReader,
    after: Option<Seq>,
    limit: usize,
) -> Result<Reply, StoreError> {
    let from = key(&[after.map_or(0, |seq| seq.0 + 1)]);
    let page = reader.scan(
        Table::Messages,
        &from,
        &KEY_END,
        limit,
        ScanOrder::Ascending,
    )?;
    let messages = page
        .iter()
        .map(|(_, value)| decode(value, "a message"))
        .collect::<Result<_, _>>()?;
    Ok(Reply::Messages(messages))
}
