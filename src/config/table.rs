//! The table of a service's targets with their weights and limits, which operators edit.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Serialize;

use crate::code::Code;
use crate::config::hash;
use crate::config::service_id::ServiceId;
use crate::error::{Error, Result};

/// The first line of every table.
pub const TABLE_HEADER: &str = "service,address,target,host,backend,weight,slots,connections";

/// The highest weight of a row.
pub(crate) const MAX_WEIGHT: u32 = 1_000_000;
/// The highest number of slots or connections of a row.
pub(crate) const MAX_LIMIT: u32 = 10_000_000;
/// The longest name of a service, target or zone, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 40;

const COLUMNS: usize = 8;

/// A row of a table: a target with its share of the service's load and its limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TableRow {
    /// The target's name, unique within the service.
    pub target: String,
    /// The host on which the target's agent and backend server run.
    pub host: Ipv4Addr,
    /// The address at which the agent reaches the backend server.
    pub backend: SocketAddr,
    /// The weight relative to the other rows; a target with weight 0 takes no new flows.
    pub weight: u32,
    /// The most requests that run at once.
    pub slots: u32,
    /// The most open flows.
    pub connections: u32,
    /// The hash by which the owner of a flow is selected, derived from the target's name.
    #[serde(skip)]
    pub(crate) target_hash: u64,
}

/// The table of one service, checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Table {
    /// The service's name.
    pub service: String,
    /// The address that callers call.
    pub address: SocketAddr,
    /// The rows in order of their targets' names.
    pub rows: Vec<TableRow>,
}

impl Table {
    /// Parses and checks one service's table; one invalid row rejects the whole table.
    ///
    /// # Errors
    ///
    /// Returns a code from 2001 to 2008 whose message names the line and the column.
    pub fn parse(text: &str) -> Result<Table> {
        let mut tables = parse_tables(text)?;
        if tables.len() != 1 {
            return Err(Error::new(
                Code::TableMixed,
                format!("one value holds the tables of {} services", tables.len()),
            ));
        }
        Ok(tables.remove(0))
    }

    /// Creates a table without a name and rows, for services whose targets are published one by
    /// one.
    pub(crate) fn unnamed() -> Table {
        Table {
            service: String::new(),
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            rows: Vec::new(),
        }
    }

    /// Returns the id of the service.
    pub fn service_id(&self) -> ServiceId {
        ServiceId::from_name(&self.service)
    }

    /// Returns the row of the target on `host`.
    pub fn row_on(&self, host: Ipv4Addr) -> Option<&TableRow> {
        self.rows.iter().find(|row| row.host == host)
    }

    /// Returns the row of the target called `target`.
    pub fn row(&self, target: &str) -> Option<&TableRow> {
        let index = self
            .rows
            .binary_search_by(|row| row.target.as_str().cmp(target));
        index.ok().map(|index| &self.rows[index])
    }

    /// Returns the sum of all weights.
    pub fn total_weight(&self) -> u64 {
        self.rows.iter().map(|row| u64::from(row.weight)).sum()
    }

    /// Returns the share of the service's load that `row` takes, from 0 to 1.
    pub fn share(&self, row: &TableRow) -> f64 {
        f64::from(row.weight) / self.total_weight().max(1) as f64
    }
}

/// Parses and checks a file with the tables of one or more services.
///
/// # Errors
///
/// Returns a code from 2001 to 2008 whose message names the line and the column.
pub fn parse_tables(text: &str) -> Result<Vec<Table>> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .comment(Some(b'#'))
        .from_reader(text.as_bytes());
    let mut tables: Vec<Table> = Vec::new();
    let mut header_seen = false;
    for record in reader.records() {
        let record = record.map_err(|error| Error::new(Code::TableSyntax, error.to_string()))?;
        let line = record.position().map_or(0, csv::Position::line);
        if !header_seen {
            check_header(&record)?;
            header_seen = true;
            continue;
        }
        add_row(&mut tables, &TableRecord { record, line })?;
    }
    for table in &mut tables {
        sort_and_check(table)?;
    }
    check_addresses(&tables)?;
    if tables.is_empty() {
        return Err(Error::new(Code::TableEmpty, "the table has no row"));
    }
    Ok(tables)
}

/// A record of the CSV file and its line, which error messages name.
struct TableRecord {
    record: csv::StringRecord,
    line: u64,
}

impl TableRecord {
    fn error(&self, code: Code, column: &str, what: &str) -> Error {
        Error::new(code, format!("line {}, column {column}: {what}", self.line))
    }

    fn field(&self, column: usize) -> &str {
        self.record.get(column).unwrap_or("")
    }

    fn parse_name(&self, column: usize, title: &str) -> Result<String> {
        let name = self.field(column);
        if !is_valid_name(name) {
            return Err(self.error(Code::TableName, title, &format!("{name:?}")));
        }
        Ok(name.to_owned())
    }

    fn parse_number(&self, column: usize, title: &str, least: u32, most: u32) -> Result<u32> {
        let field = self.field(column);
        let number = field.parse::<u32>().ok();
        number
            .filter(|number| (least..=most).contains(number))
            .ok_or_else(|| {
                let what = format!("{field:?} is not a whole number from {least} to {most}");
                self.error(Code::TableNumber, title, &what)
            })
    }

    fn parse_address<T: std::str::FromStr>(&self, column: usize, title: &str) -> Result<T> {
        let field = self.field(column);
        field
            .parse()
            .map_err(|_| self.error(Code::TableAddress, title, &format!("{field:?}")))
    }
}

/// Returns whether `name` is valid as the name of a service, target or zone.
pub(crate) fn is_valid_name(name: &str) -> bool {
    let has_valid_length = (1..=MAX_NAME_BYTES).contains(&name.len());
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    has_valid_length && name.bytes().all(is_allowed)
}

fn check_header(record: &csv::StringRecord) -> Result<()> {
    let header: Vec<&str> = record.iter().collect();
    if header.join(",") == TABLE_HEADER {
        return Ok(());
    }
    let message = format!("line 1 reads {:?}, not {TABLE_HEADER:?}", header.join(","));
    Err(Error::new(Code::TableHeader, message))
}

/// Adds a record's row to the table of its service.
fn add_row(tables: &mut Vec<Table>, record: &TableRecord) -> Result<()> {
    if record.record.len() != COLUMNS {
        let what = format!("{} columns instead of {COLUMNS}", record.record.len());
        return Err(record.error(Code::TableSyntax, "all", &what));
    }
    let service = record.parse_name(0, "service")?;
    let address: SocketAddr = record.parse_address(1, "address")?;
    let target = record.parse_name(2, "target")?;
    let row = TableRow {
        target_hash: hash::name_hash(&target),
        target,
        host: record.parse_address(3, "host")?,
        backend: record.parse_address(4, "backend")?,
        weight: record.parse_number(5, "weight", 0, MAX_WEIGHT)?,
        slots: record.parse_number(6, "slots", 1, MAX_LIMIT)?,
        connections: record.parse_number(7, "connections", 1, MAX_LIMIT)?,
    };
    let index = tables.iter().rposition(|table| table.service == service);
    let Some(index) = index else {
        tables.push(Table {
            service,
            address,
            rows: vec![row],
        });
        return Ok(());
    };
    if tables[index].address != address {
        let what = format!("{address} after {}", tables[index].address);
        return Err(record.error(Code::TableMixed, "address", &what));
    }
    tables[index].rows.push(row);
    Ok(())
}

/// Sorts the rows by target, and checks that targets and hosts are unique and some weight is above
/// 0.
fn sort_and_check(table: &mut Table) -> Result<()> {
    table.rows.sort_by(|a, b| a.target.cmp(&b.target));
    let duplicate = table.rows.windows(2).find(|w| w[0].target == w[1].target);
    if let Some(pair) = duplicate {
        let message = format!("target {} of service {}", pair[0].target, table.service);
        return Err(Error::new(Code::TableDuplicate, message));
    }
    let mut hosts: Vec<Ipv4Addr> = table.rows.iter().map(|row| row.host).collect();
    hosts.sort_unstable();
    if let Some(pair) = hosts.windows(2).find(|pair| pair[0] == pair[1]) {
        let message = format!("host {} of service {}", pair[0], table.service);
        return Err(Error::new(Code::TableDuplicate, message));
    }
    if table.total_weight() == 0 {
        let message = format!("service {} has no weight above 0", table.service);
        return Err(Error::new(Code::TableEmpty, message));
    }
    Ok(())
}

/// Checks that no two services have the same address.
fn check_addresses(tables: &[Table]) -> Result<()> {
    let mut addresses: Vec<SocketAddr> = tables.iter().map(|table| table.address).collect();
    addresses.sort_unstable();
    match addresses.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(Error::new(
            Code::TableDuplicate,
            format!("address {} of two services", pair[0]),
        )),
        None => Ok(()),
    }
}
