//! Formats responses as text: aligned columns and units. Control characters, such as those of a
//! message id, are escaped so that they cannot reach the terminal.

use foldtrack_control::{
    ClientStats, Clients, ControlResponse, Endpoint, Failure, Message, OrderResult, Partner, Peer, Peers,
    Queue, SiteState, Statement, Status,
};
use std::time::{Duration, UNIX_EPOCH};

/// A response as text.
pub(super) fn render(response: &ControlResponse) -> String {
    match response {
        ControlResponse::Status(status) => self::status(status),
        ControlResponse::Partners(partners) => self::partners(partners),
        ControlResponse::Endpoints(endpoints) => self::endpoints(endpoints),
        ControlResponse::Queues(queues) => self::queues(queues),
        ControlResponse::Failures(failures) => self::failures(failures),
        ControlResponse::Message(message) => self::message(message),
        ControlResponse::Clients(clients) => self::clients(clients),
        ControlResponse::Done(done) => self::done(done),
        ControlResponse::Peers(peers) => self::peers(peers),
        ControlResponse::State(state) => self::state(state),
        ControlResponse::Changed { status, .. } => self::status(status),
        ControlResponse::Event(event) => format!("{}\n", escape_control(&event.text)),
        ControlResponse::Error(error) => format!("{}\n", escape_control(&error.text)),
    }
}

/// Escapes control characters.
pub(super) fn escape_control(text: &str) -> String {
    text.chars()
        .flat_map(|c| if c.is_control() { c.escape_default().collect::<Vec<_>>() } else { vec![c] })
        .collect()
}

/// A table with a header line; columns are as wide as needed, text is aligned left and numbers
/// right. `none` is printed if there are no rows.
pub(super) fn table(head: &[&str], rows: &[Vec<String>], none: &str) -> String {
    if rows.is_empty() {
        return format!("{none}\n");
    }
    let rows: Vec<Vec<String>> =
        rows.iter().map(|row| row.iter().map(|cell| escape_control(cell)).collect()).collect();
    let width =
        |n: usize| rows.iter().map(|r| r[n].chars().count()).max().unwrap_or(0).max(head[n].chars().count());
    let number = |n: usize| {
        let digits = |cell: &String| cell.starts_with(|c: char| c.is_ascii_digit() || c == '-');
        rows.iter().all(|r| digits(&r[n]))
            && !["address", "at", "message", "key", "endpoint", "name"].contains(&head[n])
    };
    let shape: Vec<(usize, bool)> = (0..head.len()).map(|n| (width(n), number(n))).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let cells = cells.zip(&shape).map(|(cell, (width, right))| match right {
            true => format!("{cell:>width$}"),
            false => format!("{cell:<width$}"),
        });
        format!("{}\n", cells.collect::<Vec<_>>().join("  ").trim_end())
    };
    let mut text = line(&mut head.iter().copied());
    rows.iter().for_each(|row| text.push_str(&line(&mut row.iter().map(String::as_str))));
    text
}

/// Formats a duration in milliseconds; 0 is shown as `-`.
pub(super) fn format_duration(ms: u64) -> String {
    match ms {
        0 => "-".into(),
        1..=999 => format!("{ms}ms"),
        1000..=59_999 => format!("{:.1}s", ms as f64 / 1e3),
        60_000..=3_599_999 => format!("{}m{:02}s", ms / 60_000, ms / 1000 % 60),
        _ => format!("{}h{:02}m", ms / 3_600_000, ms / 60_000 % 60),
    }
}

/// Formats a size in bytes.
fn format_bytes(count: u64) -> String {
    match count {
        0..=9_999 => format!("{count} B"),
        10_000..=9_999_999 => format!("{:.1} KiB", count as f64 / 1024.0),
        _ => format!("{:.1} MiB", count as f64 / 1_048_576.0),
    }
}

/// Formats a number with one decimal; 0 is shown as `-`.
fn format_number(value: f64) -> String {
    if value > 0.0 {
        format!("{value:.1}")
    } else {
        "-".into()
    }
}

/// Formats a time in Unix microseconds as RFC 3339 in UTC.
pub(super) fn format_time(unix_us: u64) -> String {
    let at = UNIX_EPOCH + Duration::from_micros(unix_us);
    humantime::format_rfc3339_millis(at).to_string()
}

/// The status of a forwarder.
fn status(s: &Status) -> String {
    let line = |name: &str, text: String| format!("{name:<10}{text}\n");
    let mut text = line(
        "site",
        format!(
            "{} (foldtrack {}, process {}, up {})",
            escape_control(&s.name),
            s.program,
            s.pid,
            format_duration(s.up_ms.max(1))
        ),
    );
    text += &line("stage", s.stage.clone());
    text += &line("taken", format!("{} accepted, {} refused", s.taken, s.refused));
    text += &line(
        "ended",
        format!(
            "{} delivered, {} given up, {} in doubt, {} handed back; {} attempts failed",
            s.delivered, s.given_up, s.in_doubt, s.handed_back, s.failures
        ),
    );
    text += &line(
        "held",
        format!(
            "{} of {} messages, {} of {}, the oldest for {}",
            s.held,
            s.held_most,
            format_bytes(s.held_bytes),
            format_bytes(s.held_bytes_most),
            format_duration(s.oldest_ms)
        ),
    );
    text += &line("calls", format!("{} of {} in flight", s.calls, s.calls_most));
    text +=
        &line("journal", format!("{} of {}", format_bytes(s.journal_bytes), format_bytes(s.journal_most)));
    text += &line(
        "ends",
        format!(
            "{} stored, {} of {} not fetched yet, {} of {}",
            s.ends,
            s.ends_unfetched,
            s.ends_most,
            format_bytes(s.ends_bytes),
            format_bytes(s.ends_bytes_most)
        ),
    );
    if s.ends_unwritten > 0 {
        text +=
            &line("trouble", format!("{} outcomes cannot be written: is the disk full?", s.ends_unwritten));
    }
    text
}

/// A table of partners.
fn partners(partners: &[Partner]) -> String {
    let row = |p: &Partner| {
        vec![
            p.name.clone(),
            if p.paused { "paused".into() } else { p.health.clone() },
            format!("{}/{}", p.open, p.endpoints),
            p.held.to_string(),
            format_duration(p.oldest_ms),
            p.calls.to_string(),
            format_number(p.window),
            format_number(p.mean_ms),
            format_number(p.tau_ms),
            format_duration(p.wait_ms),
            format_number(p.rate),
            p.delivered.to_string(),
            p.failures.to_string(),
            p.verdict.clone(),
        ]
    };
    let head = [
        "name",
        "health",
        "open",
        "held",
        "oldest",
        "calls",
        "window",
        "mean ms",
        "tau ms",
        "wait",
        "rate/s",
        "delivered",
        "failed",
        "verdict",
    ];
    table(&head, &partners.iter().map(row).collect::<Vec<_>>(), "no partners")
}

/// A table of endpoints.
fn endpoints(endpoints: &[Endpoint]) -> String {
    let row = |e: &Endpoint| {
        vec![
            e.name.clone(),
            e.partner.clone(),
            e.address.clone(),
            e.state.clone(),
            e.health.clone(),
            e.calls.to_string(),
            format_number(e.window),
            format_number(e.tau_ms),
            format_duration(e.wait_ms),
            format_duration(e.closed_ms),
            connections(e),
            e.verdict.clone(),
        ]
    };
    let head = [
        "name",
        "partner",
        "address",
        "state",
        "health",
        "calls",
        "window",
        "tau ms",
        "wait",
        "closed for",
        "connections",
        "verdict",
    ];
    table(&head, &endpoints.iter().map(row).collect::<Vec<_>>(), "no endpoints")
}

/// An endpoint's connections: idle ones, those being opened ahead, the share of calls that found
/// one ready, the duration of a handshake and the maximum idle time.
fn connections(e: &Endpoint) -> String {
    let ahead = if e.dialling > 0 { format!("+{}", e.dialling) } else { String::new() };
    let (ready, handshake) = (100.0 * e.ready, format_number(e.handshake_ms));
    format!(
        "{}{ahead} idle, {ready:.0}% ready, {handshake} ms, idle up to {}",
        e.idle,
        format_duration(e.idle_most_ms)
    )
}

/// A table of queues.
fn queues(queues: &[Queue]) -> String {
    let row = |q: &Queue| {
        let key = if q.key.is_empty() { "-" } else { &q.key };
        vec![q.partner.clone(), key.to_string(), q.held.to_string(), format_duration(q.oldest_ms)]
    };
    table(
        &["partner", "key", "held", "oldest"],
        &queues.iter().map(row).collect::<Vec<_>>(),
        "nothing is held",
    )
}

/// A table of clients, with blocks, floods, descriptors and sockets.
fn clients(all: &Clients) -> String {
    let row = |c: &ClientStats| {
        vec![
            c.address.clone(),
            if c.floods { format!("{}, floods", c.known) } else { c.known.clone() },
            c.connections.to_string(),
            c.requests.to_string(),
            c.asked.to_string(),
            c.taken.to_string(),
            c.refused.to_string(),
            c.turned_away.to_string(),
            format_number(c.rate),
            format!("{:.1}%", c.part * 100.0),
        ]
    };
    let head = [
        "address",
        "known",
        "open",
        "requests",
        "asked",
        "taken",
        "refused",
        "turned away",
        "rate/s",
        "share",
    ];
    let mut text =
        table(&head, &all.clients.iter().map(row).collect::<Vec<_>>(), "no client has connected yet");
    for (network, ms) in &all.blocks {
        text += &format!("blocked  {}  for another {}\n", escape_control(network), format_duration(*ms));
    }
    all.floods.iter().for_each(|line| text += &format!("{}\n", escape_control(line)));
    let held: Vec<String> = all
        .descriptors
        .iter()
        .map(|h| format!("{} {} of {}", escape_control(&h.party), h.held, h.most))
        .collect();
    if !held.is_empty() {
        text += &format!("descriptors  {}; {} being closed\n", held.join(", "), all.lingering);
    }
    if let Some(k) = &all.kernel {
        text += &format!(
            "sockets  {} established, {} half open, {} half closed, {} closing, {} in TIME-WAIT\n",
            k.established, k.half_open, k.half_closed, k.closing, k.time_wait
        );
    }
    text
}

/// A table of failed attempts.
fn failures(failures: &[Failure]) -> String {
    let row = |f: &Failure| {
        vec![
            format_time(f.at),
            f.message.clone(),
            f.class.clone(),
            f.endpoint.clone(),
            f.attempt.to_string(),
            if f.cause.is_empty() { f.outcome.clone() } else { format!("{}: {}", f.outcome, f.cause) },
            if f.may_have_run { "may have run" } else { "did not run" }.into(),
            f.then.clone(),
        ]
    };
    let head = ["at", "message", "class", "endpoint", "attempt", "outcome", "effect", "then"];
    table(&head, &failures.iter().map(row).collect::<Vec<_>>(), "no attempt has failed recently")
}

/// The history of a message.
fn message(m: &Message) -> String {
    let mut text = format!(
        "{}  {}  {} to {}",
        escape_control(&m.id),
        m.state,
        escape_control(&m.class),
        escape_control(&m.partner)
    );
    if !m.key.is_empty() {
        text += &format!(", key {}", escape_control(&m.key));
    }
    text += &format!("\naccepted  {}\n", format_time(m.taken));
    let rows: Vec<Vec<String>> = m
        .attempts
        .iter()
        .enumerate()
        .map(|(n, a)| {
            let took =
                if a.until > a.at { format_duration(((a.until - a.at) / 1000).max(1)) } else { "-".into() };
            let effect = match (a.outcome.as_str(), a.may_have_run) {
                ("ok", _) => "ran",
                (_, true) => "may have run",
                (_, false) => "did not run",
            };
            let endpoint = if a.endpoint.is_empty() { "?" } else { &a.endpoint };
            vec![
                (n + 1).to_string(),
                format_time(a.at),
                endpoint.to_string(),
                a.outcome.clone(),
                took,
                effect.into(),
            ]
        })
        .collect();
    text += &table(&["attempt", "at", "endpoint", "outcome", "took", "effect"], &rows, "no attempt yet");
    match (m.ended, m.expires) {
        (0, expires) => text += &format!("expires   {}\n", format_time(expires)),
        (ended, _) => text += &format!("ended     {}  {}\n", format_time(ended), m.state),
    }
    if m.retry_in_ms > 0 {
        text += &format!("submit again after {}\n", format_duration(m.retry_in_ms));
    }
    if m.harmless_until > 0 {
        text +=
            &format!("          but not after {}: it may have taken effect\n", format_time(m.harmless_until));
    }
    text
}

/// The result of an order.
fn done(d: &OrderResult) -> String {
    let what = if d.changed { "done" } else { "already in that state" };
    let copies = match (d.copies, d.others) {
        (_, 0) => String::new(),
        (0, others) => format!(
            "; NONE of the {others} other forwarders has it yet: it is lost if this machine fails before one has it"
        ),
        (copies, others) => format!("; {copies} of {others} other forwarders have it"),
    };
    format!("{what}; {} calls still in flight, {} messages held for the partner{copies}\n", d.calls, d.held)
}

/// The peers of a forwarder.
fn peers(p: &Peers) -> String {
    let mode = match p.mode.as_str() {
        "caught_up" => "is up to date with its peers",
        "catching_up" => "is catching up",
        "alone" => "has not reached a peer with the same state yet, and uses its own state",
        "displaced" => "IS DISPLACED: another process runs under its name",
        other => other,
    };
    let quorum =
        if p.there >= p.majority { "a quorum" } else { "NO quorum: nothing can be resumed or added" };
    let mut text = format!(
        "{} (start {}) {mode}; {} of {} forwarders are up, {quorum}\n",
        escape_control(&p.name),
        p.start,
        p.there,
        p.members
    );
    if !p.ids_known {
        text.push_str(
            "it does not know yet which ids it has accepted: until then, its peers do not rely on its reports about payments\n",
        );
    }
    if !p.unkept.is_empty() {
        text += &format!("orders cannot be stored on this disk: {}\n", escape_control(&p.unkept));
    }
    let ago = |ms: Option<u64>| ms.map_or("never".into(), |ms| format_duration(ms.max(1)));
    let row = |o: &Peer| {
        let start = if o.start == 0 { "-".into() } else { o.start.to_string() };
        vec![
            o.name.clone(),
            o.standing.clone(),
            format_duration(o.for_ms),
            start,
            ago(o.heard_ms),
            ago(o.same_ms),
        ]
    };
    let head = ["name", "standing", "for", "start", "heard", "same state"];
    text += &table(&head, &p.others.iter().map(row).collect::<Vec<_>>(), "there are no other forwarders");
    text += &format!(
        "{} datagrams sent ({}), {} received ({})",
        p.sent,
        format_bytes(p.sent_bytes),
        p.received,
        format_bytes(p.received_bytes)
    );
    for (why, count) in &p.dropped {
        text += &format!(", {count} dropped as {why}");
    }
    text + "\n"
}

/// The orders on a site.
fn state(s: &SiteState) -> String {
    let row = |s: &Statement| {
        let says = if s.detail.is_empty() { s.word.clone() } else { format!("{} {}", s.word, s.detail) };
        let holds = if s.holds { "yes" } else { "no: another statement overrides it" };
        vec![s.kind.clone(), s.subject.clone(), says, holds.into(), s.id.clone(), format_time(s.at)]
    };
    let head = ["kind", "name", "says", "holds", "statement", "at (its author's clock)"];
    let rows = s.statements.iter().map(row).collect::<Vec<_>>();
    table(&head, &rows, "no orders have been given")
        + &format!("state {} at {}\n", s.digest, escape_control(&s.name))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_align_and_control_characters_stay_out_of_the_terminal() {
        let rows = vec![vec!["a\u{1b}[2J".to_string(), "7".into()], vec!["long name".into(), "123".into()]];
        let text = table(&["name", "held"], &rows, "none");
        assert_eq!(text, "name        held\na\\u{1b}[2J     7\nlong name    123\n");
        assert_eq!(table(&["name"], &[], "none"), "none\n");
        assert_eq!(
            (format_duration(0), format_duration(1500), format_duration(61_000)),
            ("-".into(), "1.5s".into(), "1m01s".into())
        );
    }
}
