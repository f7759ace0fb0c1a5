//! Access to the tables of the file in a database transaction.

use redb::{
    ReadOnlyTable, ReadTransaction, ReadableTable, TableDefinition, TableError, WriteTransaction,
};

use super::io_error;
use crate::store::error::StoreError;
use crate::store::keyspace::{KeyValue, Keyspace, KeyspaceReader, ScanOrder, Table};

type BytesTableDefinition = TableDefinition<'static, &'static [u8], &'static [u8]>;
type BytesReadTable = ReadOnlyTable<&'static [u8], &'static [u8]>;

fn definition(table: Table) -> BytesTableDefinition {
    TableDefinition::new(table.name())
}

fn get_value(
    table: &impl ReadableTable<&'static [u8], &'static [u8]>,
    key: &[u8],
) -> Result<Option<Vec<u8>>, StoreError> {
    let value = table.get(key).map_err(io_error)?;
    Ok(value.map(|value| value.value().to_vec()))
}

fn scan_table(
    table: &impl ReadableTable<&'static [u8], &'static [u8]>,
    from: &[u8],
    to: &[u8],
    limit: usize,
    order: ScanOrder,
) -> Result<Vec<KeyValue>, StoreError> {
    if from >= to {
        return Ok(Vec::new());
    }
    let mut range = table.range(from..to).map_err(io_error)?;
    let mut rows = Vec::new();
    while rows.len() < limit {
        let next = match order {
            ScanOrder::Ascending => range.next(),
            ScanOrder::Descending => range.next_back(),
        };
        let Some(row) = next else {
            break;
        };
        let (key, value) = row.map_err(io_error)?;
        rows.push((key.value().to_vec(), value.value().to_vec()));
    }
    Ok(rows)
}

/// A write transaction.
pub(super) struct Transaction<'a>(pub(super) &'a WriteTransaction);

impl KeyspaceReader for Transaction<'_> {
    fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let table = self.0.open_table(definition(table)).map_err(io_error)?;
        get_value(&table, key)
    }

    fn scan(
        &self,
        table: Table,
        from: &[u8],
        to: &[u8],
        limit: usize,
        order: ScanOrder,
    ) -> Result<Vec<KeyValue>, StoreError> {
        let table = self.0.open_table(definition(table)).map_err(io_error)?;
        scan_table(&table, from, to, limit, order)
    }
}

impl Keyspace for Transaction<'_> {
    fn put(
        &mut self,
        table: Table,
        key: &[u8],
        value: &[u8],
    ) -> Result<Option<Vec<u8>>, StoreError> {
        let mut table = self.0.open_table(definition(table)).map_err(io_error)?;
        let previous = table.insert(key, value).map_err(io_error)?;
        Ok(previous.map(|value| value.value().to_vec()))
    }

    fn remove(&mut self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let mut table = self.0.open_table(definition(table)).map_err(io_error)?;
        let previous = table.remove(key).map_err(io_error)?;
        Ok(previous.map(|value| value.value().to_vec()))
    }
}

/// A read transaction, which can run concurrently with the writer thread.
pub(super) struct ReadSnapshot(pub(super) ReadTransaction);

impl ReadSnapshot {
    /// Opens a table; none if the table was never written.
    fn table(&self, table: Table) -> Result<Option<BytesReadTable>, StoreError> {
        match self.0.open_table(definition(table)) {
            Ok(table) => Ok(Some(table)),
            Err(TableError::TableDoesNotExist(_)) => Ok(None),
            Err(error) => Err(io_error(error)),
        }
    }
}

impl KeyspaceReader for ReadSnapshot {
    fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let Some(table) = self.table(table)? else {
            return Ok(None);
        };
        get_value(&table, key)
    }

    fn scan(
        &self,
        table: Table,
        from: &[u8],
        to: &[u8],
        limit: usize,
        order: ScanOrder,
    ) -> Result<Vec<KeyValue>, StoreError> {
        let Some(table) = self.table(table)? else {
            return Ok(Vec::new());
        };
        scan_table(&table, from, to, limit, order)
    }
}
