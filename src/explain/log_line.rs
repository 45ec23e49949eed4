//! Parses the log lines that the processes write.

/// The key at the start of each line; see docs/OPERATIONS.md, "Log lines".
const TIME_KEY: &str = "time_ms=";

/// A parsed log line, which borrows from the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// The wall-clock time at which it was written, on its host.
    pub time_ms: u64,
    /// The process that wrote it: a host, or the name before the line or of the file.
    pub process: &'a str,
    /// The value of the field `event`.
    pub event: &'a str,
    /// The fields after the event, in the order of the line.
    pub fields: Vec<(&'a str, &'a str)>,
}

impl<'a> LogLine<'a> {
    /// Returns the value of the field `key`, if the line has it.
    pub fn field(&self, key: &str) -> Option<&'a str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(name, _)| *name == key)
            .map(|(_, value)| *value)
    }
}

/// Parses the lines of one text and skips lines of other programs.
///
/// Tools that collect the lines of several processes put a name before each line. Without such a name, the
/// process is the host that its start line names, or `name` before any start line.
pub fn parse_log<'a>(name: &'a str, text: &'a str) -> Vec<LogLine<'a>> {
    let mut process = name;
    let mut lines = Vec::new();
    for line in text.lines() {
        let Some(start) = line.find(TIME_KEY) else {
            continue;
        };
        let prefix = line[..start].split_whitespace().next_back();
        let Some(mut parsed) = parse_fields(&line[start..]) else {
            continue;
        };
        if parsed.event == "start"
            && let Some(host) = parsed.field("host")
        {
            process = host;
        }
        parsed.process = prefix.unwrap_or(process);
        lines.push(parsed);
    }
    lines
}

/// Splits a line at its keys. A value extends to the next key, since error texts contain spaces.
fn parse_fields(line: &str) -> Option<LogLine<'_>> {
    let mut fields: Vec<(&str, usize, usize)> = Vec::new();
    let mut offset = 0;
    for word in line.split(' ') {
        if let Some((key, _)) = word.split_once('=')
            && is_key(key)
        {
            if let Some(last) = fields.last_mut() {
                last.2 = offset - 1;
            }
            fields.push((key, offset + key.len() + 1, line.len()));
        }
        offset += word.len() + 1;
    }
    let fields: Vec<(&str, &str)> = fields
        .into_iter()
        .map(|(key, from, to)| (key, line[from..to].trim()))
        .collect();
    let find = |key: &str| fields.iter().find(|(name, _)| *name == key);
    let time_ms = find("time_ms")?.1.parse().ok()?;
    let event = find("event")?.1;
    Some(LogLine {
        time_ms,
        process: "",
        event,
        fields: fields
            .into_iter()
            .filter(|(key, _)| !["time_ms", "level", "part", "event"].contains(key))
            .collect(),
    })
}

fn is_key(word: &str) -> bool {
    !word.is_empty()
        && word
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
}
