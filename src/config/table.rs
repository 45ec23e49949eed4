//! The table of weights and limits that operators edit, one value a service.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Serialize;

use crate::code::Code;
use crate::config::hash;
use crate::config::service_id::ServiceId;
use crate::error::{Error, Result};

/// The first line of every table.
pub const TABLE_HEADER: &str = "service,address,target,host,backend,weight,slots,connections";

/// The greatest weight of a row.
pub(crate) const MAX_WEIGHT: u32 = 1_000_000;
/// The greatest number of slots or connections of a row.
pub(crate) const MAX_LIMIT: u32 = 10_000_000;
/// The longest name of a service or target, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 40;

const COLUMNS: usize = 8;

/// One row: where a share of the service's traffic goes and how far it may be loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TableRow {
    /// The target's name, unique in the service.
    pub target: String,
    /// The host on which the target's agent and backend server run.
    pub host: Ipv4Addr,
    /// Where the agent reaches the backend server.
    pub backend: SocketAddr,
    /// The share of the service's load, relative to the other rows; 0 takes no new flow.
    pub weight: u32,
    /// The greatest number of requests that run at once.
    pub slots: u32,
    /// The greatest number of open flows.
    pub connections: u32,
    /// The hash by which owners are drawn, derived from the target's name.
    #[serde(skip)]
    pub(crate) target_hash: u64,
}

/// A checked table of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Table {
    /// The service's name.
    pub service: String,
    /// The address to which callers send.
    pub address: SocketAddr,
    /// The rows in order of their target's name.
    pub rows: Vec<TableRow>,
}

impl Table {
    /// Parses and checks one service's table; one bad row rejects all of it.
    ///
    /// # Errors
    ///
    /// Returns a code from 2001 to 2008 whose message names the line and the column.
    pub fn parse(text: &str) -> Result<Table> {
        let mut tables = parse_tables(text)?;
        if tables.len() != 1 {
            return Err(Error::new(
                Code::TableMixed,
                format!("{} services stand in one value", tables.len()),
            ));
        }
        Ok(tables.remove(0))
    }

    /// Makes a table without a name and without rows, for targets that register themselves.
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

    /// Returns the row of the target with this name.
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

    /// Returns the part of the service's load that the table gives to `row`, from 0 to 1.
    pub fn share(&self, row: &TableRow) -> f64 {
        f64::from(row.weight) / self.total_weight().max(1) as f64
    }
}

/// Parses a file that may hold several services, as an operator keeps it.
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
        add_record(&mut tables, &RecordView { record, line })?;
    }
    for table in &mut tables {
        finish(table)?;
    }
    check_addresses(&tables)?;
    if tables.is_empty() {
        return Err(Error::new(Code::TableEmpty, "the table has no row"));
    }
    Ok(tables)
}

struct RecordView {
    record: csv::StringRecord,
    line: u64,
}

impl RecordView {
    fn error(&self, code: Code, column: &str, what: &str) -> Error {
        Error::new(code, format!("line {}, column {column}: {what}", self.line))
    }

    fn field(&self, column: usize) -> &str {
        self.record.get(column).unwrap_or("")
    }

    fn name(&self, column: usize, title: &str) -> Result<String> {
        let name = self.field(column);
        if !is_valid_name(name) {
            return Err(self.error(Code::TableName, title, &format!("{name:?}")));
        }
        Ok(name.to_owned())
    }

    fn number(&self, column: usize, title: &str, least: u32, most: u32) -> Result<u32> {
        let field = self.field(column);
        let number = field.parse::<u32>().ok();
        number
            .filter(|number| (least..=most).contains(number))
            .ok_or_else(|| {
                let what = format!("{field:?} is not a whole number from {least} to {most}");
                self.error(Code::TableNumber, title, &what)
            })
    }

    fn parsed<T: std::str::FromStr>(&self, column: usize, title: &str) -> Result<T> {
        let field = self.field(column);
        field
            .parse()
            .map_err(|_| self.error(Code::TableAddress, title, &format!("{field:?}")))
    }
}

/// Tells whether `name` may name a service, target or zone.
pub(crate) fn is_valid_name(name: &str) -> bool {
    let fits = (1..=MAX_NAME_BYTES).contains(&name.len());
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    fits && name.bytes().all(allowed)
}

fn check_header(record: &csv::StringRecord) -> Result<()> {
    let header: Vec<&str> = record.iter().collect();
    if header.join(",") == TABLE_HEADER {
        return Ok(());
    }
    let message = format!("line 1 reads {:?}, not {TABLE_HEADER:?}", header.join(","));
    Err(Error::new(Code::TableHeader, message))
}

fn add_record(tables: &mut Vec<Table>, view: &RecordView) -> Result<()> {
    if view.record.len() != COLUMNS {
        let what = format!("{} columns instead of {COLUMNS}", view.record.len());
        return Err(view.error(Code::TableSyntax, "all", &what));
    }
    let service = view.name(0, "service")?;
    let address: SocketAddr = view.parsed(1, "address")?;
    let target = view.name(2, "target")?;
    let row = TableRow {
        target_hash: hash::name_hash(&target),
        target,
        host: view.parsed(3, "host")?,
        backend: view.parsed(4, "backend")?,
        weight: view.number(5, "weight", 0, MAX_WEIGHT)?,
        slots: view.number(6, "slots", 1, MAX_LIMIT)?,
        connections: view.number(7, "connections", 1, MAX_LIMIT)?,
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
        return Err(view.error(Code::TableMixed, "address", &what));
    }
    tables[index].rows.push(row);
    Ok(())
}

fn finish(table: &mut Table) -> Result<()> {
    table.rows.sort_by(|a, b| a.target.cmp(&b.target));
    let twice = table.rows.windows(2).find(|w| w[0].target == w[1].target);
    if let Some(pair) = twice {
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
