//! One line that a process of the product wrote, taken apart again.

/// What each line begins with; see docs/OPERATIONS.md, "Log lines".
const TIME_KEY: &str = "time_ms=";

/// A log line with borrowed fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// When it was written, by the clock of its host.
    pub time_ms: u64,
    /// Who wrote it.
    pub process: &'a str,
    /// What it says.
    pub event: &'a str,
    /// The fields after it, in their order.
    pub fields: Vec<(&'a str, &'a str)>,
}

impl<'a> LogLine<'a> {
    /// Returns the value of a field.
    pub fn field(&self, key: &str) -> Option<&'a str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(name, _)| *name == key)
            .map(|(_, value)| *value)
    }
}

/// Reads the lines of one text; lines of other programs are passed over.
///
/// Tools that gather the lines of several processes put a name before each. Where there is none, the host
/// that the process named at its start counts, and before that `name`.
pub fn parse_log<'a>(name: &'a str, text: &'a str) -> Vec<LogLine<'a>> {
    let mut process = name;
    let mut lines = Vec::new();
    for line in text.lines() {
        let Some(at) = line.find(TIME_KEY) else {
            continue;
        };
        let prefix = line[..at].split_whitespace().next_back();
        let Some(mut parsed) = parse_fields(&line[at..]) else {
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

/// Splits a line at its keys; a value reaches up to the next one, since errors are told in words.
fn parse_fields(line: &str) -> Option<LogLine<'_>> {
    let mut fields: Vec<(&str, usize, usize)> = Vec::new();
    let mut at = 0;
    for word in line.split(' ') {
        if let Some((key, _)) = word.split_once('=')
            && is_key(key)
        {
            if let Some(last) = fields.last_mut() {
                last.2 = at - 1;
            }
            fields.push((key, at + key.len() + 1, line.len()));
        }
        at += word.len() + 1;
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
