//! Numbered result codes for every refusal, error and dropped packet.
//!
//! Operators search logs and dashboards for the number, so a number never changes its meaning.
//! `docs/CODES.md` lists the same table; a test checks that the two are equal.

macro_rules! codes {
    ($($number:literal $name:ident $meaning:literal, $remedy:literal;)*) => {
        /// A numbered result code; see docs/CODES.md.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Returns the code with this number, if it exists.
            pub fn from_number(number: u16) -> Option<Code> {
                match number {
                    $($number => Some(Code::$name),)*
                    _ => None,
                }
            }

            /// Returns a short description of what happened.
            pub fn meaning(self) -> &'static str {
                match self {
                    $(Code::$name => $meaning,)*
                }
            }

            /// Returns what the operator or caller should do about it.
            pub fn remedy(self) -> &'static str {
                match self {
                    $(Code::$name => $remedy,)*
                }
            }
        }
    };
}

codes! {
    1000 Answered "answered by the backend server", "none";
    1001 Overloaded "not run: every slot and queue place is taken", "come back after Retry-After";
    1002 Draining "not run: the backend server is leaving", "come back at once on a new connection";
    1003 Deadline "not run: it could not start within its deadline", "come back after Retry-After or allow more time";
    1004 NoTarget "not run: no target can take it", "come back after Retry-After";
    1005 TicketNeeded "not run: a request that may not be repeated needs a ticket", "repeat it with the ticket of this answer";
    1006 TicketSpent "not run: this ticket was refused before", "repeat it with the ticket of this answer";
    1007 TicketMismatch "not run: this ticket belongs to another request", "use each ticket for one request only";
    1008 BadRequest "not run: a request header is malformed", "correct the header named in the body";
    1009 BackendUnreachable "not run: the backend server took no connection", "come back after Retry-After";
    1010 BackendShed "not run: the backend server refused it under load", "come back after Retry-After";
    1101 OutcomeUnknown "outcome unknown: the connection to the backend server was lost after hand-over", "ask the service whether it ran before trying again";
    1102 IncarnationGone "outcome unknown: the process that this ticket binds to is gone", "ask the service whether it ran before trying again";
    1103 DeadlinePassed "outcome unknown: the deadline passed while it ran", "ask the service whether it ran before trying again";
    1104 TicketExpired "outcome unknown: this ticket is older than the ledger remembers", "ask the service whether it ran before trying again";
    1201 InProgress "already running: another copy of this request runs", "repeat it with the same ticket after Retry-After";
    1202 AnswerNotKept "already ran: its answer was too large to keep", "ask the service for the result";
    2001 TableSyntax "table: the row is not CSV with the expected columns", "write the columns of the header line, in its order";
    2002 TableHeader "table: the header line differs", "start the table with the header that `endivedyke table header` prints";
    2003 TableNumber "table: a number is malformed or out of range", "write a whole number in the range named";
    2004 TableAddress "table: an address is malformed", "write IP:PORT, or an IPv4 address for a host";
    2005 TableDuplicate "table: a target, host or service address stands twice", "give each target of a service its own name and host";
    2006 TableMixed "table: rows of one service disagree on its address", "write the same service and address in each row";
    2007 TableEmpty "table: no row, or no row with a weight above 0", "keep one target with a weight above 0 in each service";
    2008 TableName "table: a name is empty, too long or has other than a-z, 0-9 and -", "use 1 to 40 letters, digits and hyphens";
    2101 HostsSyntax "host list: a row is malformed", "write host,zone,role,state";
    2201 KeysSyntax "keys: a row is malformed", "write epoch,salt,state with one epoch in state seal";
    2301 RevisionOld "value: the revision is not above the one in force", "none: the one in force stays";
    2302 DeltaMismatch "value: the change does not fit the text in force", "none: the whole value is fetched";
    2303 ValueTooLarge "value: larger than one megabyte", "split the service";
    2401 RoutesSyntax "routes: a row is malformed or an address stands twice", "write address,service,weight,priority,repeatable";
    2402 BackendSyntax "backend server: the published value is malformed", "write service,address,zone,slots,state and, while it is cold, the milliseconds left";
    2403 EntryUnusable "backend server: what is published names none to use", "see which other program writes there";
    2404 ColdStartSyntax "cold starts: a line is malformed", "write service,milliseconds,flows a second";
    2405 DeadlineSyntax "deadlines: a line is malformed", "write address,objective in milliseconds,timeout in milliseconds";
    2501 LogSilent "logs: no line names this request or flow", "give the log files of all processes, and the id as callers know it";
    3001 SettingsSyntax "settings: the file is not INI", "correct the line named";
    3002 SettingsUnknown "settings: unknown section or key", "remove or correct the key named";
    3003 SettingsValue "settings: a value is malformed or out of range", "write a value in the range named";
    3004 SettingsMissing "settings: a required key is missing", "add the key named";
    4001 PacketShort "packet: too short or not QUIC", "none: dropped";
    4002 PacketUnroutable "packet: neither an opener nor a valid routing token", "none: dropped or reset";
    4003 EnvelopeForged "envelope: wrong length, version or authentication tag", "check that all hosts hold the same cluster key";
    4004 ServiceUnknown "envelope: no such service here", "none: dropped";
    4005 TokenForeign "token: of another service or incarnation", "none: reset";
    4006 HostUnknown "no live host serves the target", "check the host list and the table";
    4007 LinkRefused "control link: the peer could not prove that it holds the cluster key", "check that all hosts hold the same cluster key";
    4008 LinkClosed "control link: closed or timed out", "none: another peer is asked";
    4009 MessageMalformed "message: not from a process of this version", "run the same version on all hosts";
    4010 RouteUnknown "no route to the address that the caller calls", "add the route, or correct the caller";
    4011 FlowGone "no backend server holds the flow", "none: the caller opens a new one";
    4012 BackendGone "the backend server that held the flow has ended", "none: the caller opens a new one";
    4013 NoRoom "no backend server takes the flow", "add slots or backend servers";
    4014 SegmentMalformed "packet: its header is malformed", "none: dropped";
    4015 ServiceEvacuated "every backend server that could take the flow stands in an evacuated availability zone", "take a zone back, or add backend servers elsewhere";
    4016 BackendStalled "the backend server that holds the flow takes requests and serves none", "see why it hangs; the caller opens a new flow";
    5001 Io "input or output failed", "see the message";
    5002 PlatformSilent "the configuration service does not answer", "none: the table in force stays, peers are asked";
    5003 PlatformStale "the configuration service shows an older revision", "none: the table in force stays";
    5004 Usage "the command line is malformed", "see --help";
    5005 PlatformForgot "the configuration service no longer has these changes", "none: everything is read anew";
    5006 AnswerTooLarge "an HTTP answer is larger than 4 MB", "none: what it tells is read in parts";
}

impl Code {
    /// Returns the number, as used in logs, headers and docs.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns whether the code guarantees that the backend server never got the request.
    pub fn is_not_run(self) -> bool {
        (1001..=1099).contains(&self.number())
    }
}
