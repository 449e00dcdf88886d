//! Numbered log events. Every line a daemon logs starts with its number.

macro_rules! events {
    ($($name:ident $number:literal $level:ident $text:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum LogEvent { $($name),* }

        impl LogEvent {
            pub const ALL: &'static [LogEvent] = &[$(LogEvent::$name),*];
            pub fn number(self) -> u16 {
                match self { $(LogEvent::$name => $number),* }
            }
            pub fn level(self) -> log::Level {
                match self { $(LogEvent::$name => log::Level::$level),* }
            }
            pub fn text(self) -> &'static str {
                match self { $(LogEvent::$name => $text),* }
            }
        }
    };
}

events! {
    Started 100 Info "node started";
    Leaving 101 Info "told to stop; taking nothing new";
    Stopped 102 Info "stopped cleanly";
    Listening 103 Info "listening";
    Woken 104 Warn "clock jumped or process was frozen; permit dropped";
    RingFull 105 Warn "a ring between threads is full; its newest entry is dropped";
    Identity 200 Info "identity made and synced";
    Founded 201 Info "site founded";
    Joining 202 Info "blank core joins a founded site as a non-voter";
    Promised 203 Info "promised to found with these cores";
    GlobalLeader 210 Info "is Global Leader";
    DomainLeader 211 Info "is Domain Leader";
    SteppedDown 212 Warn "gave up its leadership";
    RegionDown 213 Warn "region unavailable to the Global Leader";
    RegionUp 214 Info "region available again";
    Moving 215 Info "handing the global leadership over";
    Members 216 Info "core members changed";
    Replacing 217 Warn "a change of the members begins";
    DiskFailed 220 Error "disk cannot be written or synced; this core stands aside until it can";
    DiskSlow 221 Warn "a save took long";
    DiskCorrupt 222 Error "data folder is damaged; its state is given up and this core joins anew";
    DiskTorn 223 Warn "an unfinished save at the end of the log was cut";
    DiskRecovered 224 Info "disk takes writes again; this core takes part again";
    FrameRefused 230 Warn "closed a connection over a frame";
    SessionUp 240 Info "session with a core node stands";
    SessionLost 241 Warn "session with a core node lost";
    NodeJoined 242 Info "a node's session stands";
    NodeLost 243 Warn "a node's session is gone";
    DutyTaken 244 Info "takes up a duty under a new epoch";
    ClaimsLearned 245 Info "knows the claims on errand ids; has a say on new ones";
    ClaimsFull 246 Warn "as many errand ids are remembered as may be; new ones are shed";
    LeaseExpired 250 Warn "permit ran out; serving nothing";
    LeaseRenewed 251 Info "permit renewed; serving";
    ConfigurationAdopted 252 Info "setup adopted";
    ConfigurationUnreadable 253 Error "a delivered setup could not be read; keeping none";
    RosterRead 260 Info "worker list changed";
    RosterLost 261 Warn "platform's worker list cannot be read";
    WorkerDark 262 Warn "a worker does not report its load";
    WorkerBack 263 Info "a worker reports its load again";
    ErrandUnknown 270 Warn "outcome of a non-repeatable errand is unknown";
    StreamBroken 271 Warn "a worker's stream broke off";
    ResultBad 272 Warn "a worker's result was refused";
    ChangeTaken 280 Info "an operator's change was taken";
    ChangeRefused 281 Info "an operator's change was refused";
    RegionState 282 Info "a region's recovery state changed";
}

/// Log one numbered event with what it is about.
pub fn log_event(ev: LogEvent, about: impl std::fmt::Display) {
    log::log!(target: "sorreldoor", ev.level(), "E{} {}: {}", ev.number(), ev.text(), about);
}
