//! Answers as text for people: aligned columns, units, nothing that a control character of a message's id could
//! bring into a terminal.

use foldtrack_control::{
    ClientStats, Clients, ControlResponse, Endpoint, Failure, Message, OrderResult, Partner, Peer, Peers,
    Queue, SiteState, Statement, Status,
};
use std::time::{Duration, UNIX_EPOCH};

pub(super) fn text(told: &ControlResponse) -> String {
    match told {
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
        ControlResponse::Event(event) => format!("{}\n", plain(&event.text)),
        ControlResponse::Error(error) => format!("{}\n", plain(&error.text)),
    }
}

/// Without control characters.
pub(super) fn plain(text: &str) -> String {
    text.chars()
        .flat_map(|c| if c.is_control() { c.escape_default().collect::<Vec<_>>() } else { vec![c] })
        .collect()
}

/// Columns under a head, as wide as they need: texts to the left, numbers to the right.
pub(super) fn table(head: &[&str], rows: &[Vec<String>], none: &str) -> String {
    if rows.is_empty() {
        return format!("{none}\n");
    }
    let rows: Vec<Vec<String>> =
        rows.iter().map(|row| row.iter().map(|cell| plain(cell)).collect()).collect();
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

pub(super) fn span(ms: u64) -> String {
    match ms {
        0 => "-".into(),
        1..=999 => format!("{ms}ms"),
        1000..=59_999 => format!("{:.1}s", ms as f64 / 1e3),
        60_000..=3_599_999 => format!("{}m{:02}s", ms / 60_000, ms / 1000 % 60),
        _ => format!("{}h{:02}m", ms / 3_600_000, ms / 60_000 % 60),
    }
}

fn bytes(count: u64) -> String {
    match count {
        0..=9_999 => format!("{count} B"),
        10_000..=9_999_999 => format!("{:.1} KiB", count as f64 / 1024.0),
        _ => format!("{:.1} MiB", count as f64 / 1_048_576.0),
    }
}

fn number(value: f64) -> String {
    if value > 0.0 {
        format!("{value:.1}")
    } else {
        "-".into()
    }
}

/// A time of day in UTC.
pub(super) fn time(unix_us: u64) -> String {
    let at = UNIX_EPOCH + Duration::from_micros(unix_us);
    humantime::format_rfc3339_millis(at).to_string()
}

fn status(s: &Status) -> String {
    let line = |name: &str, text: String| format!("{name:<10}{text}\n");
    let mut text = line(
        "site",
        format!(
            "{} (foldtrack {}, process {}, up {})",
            plain(&s.name),
            s.program,
            s.pid,
            span(s.up_ms.max(1))
        ),
    );
    text += &line("stage", s.stage.clone());
    text += &line("taken", format!("{} taken on, {} refused", s.taken, s.refused));
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
            bytes(s.held_bytes),
            bytes(s.held_bytes_most),
            span(s.oldest_ms)
        ),
    );
    text += &line("calls", format!("{} of {} out", s.calls, s.calls_most));
    text += &line("journal", format!("{} of {}", bytes(s.journal_bytes), bytes(s.journal_most)));
    text += &line(
        "ends",
        format!(
            "{} kept, {} of {} not fetched yet, {} of {}",
            s.ends,
            s.ends_unfetched,
            s.ends_most,
            bytes(s.ends_bytes),
            bytes(s.ends_bytes_most)
        ),
    );
    if s.ends_unwritten > 0 {
        text += &line("trouble", format!("{} ends can't be written: is the disk full?", s.ends_unwritten));
    }
    text
}

fn partners(partners: &[Partner]) -> String {
    let row = |p: &Partner| {
        vec![
            p.name.clone(),
            if p.paused { "paused".into() } else { p.health.clone() },
            format!("{}/{}", p.open, p.endpoints),
            p.held.to_string(),
            span(p.oldest_ms),
            p.calls.to_string(),
            number(p.window),
            number(p.mean_ms),
            number(p.tau_ms),
            span(p.wait_ms),
            number(p.rate),
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

fn endpoints(endpoints: &[Endpoint]) -> String {
    let row = |e: &Endpoint| {
        vec![
            e.name.clone(),
            e.partner.clone(),
            e.address.clone(),
            e.state.clone(),
            e.health.clone(),
            e.calls.to_string(),
            number(e.window),
            number(e.tau_ms),
            span(e.wait_ms),
            span(e.closed_ms),
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

/// How many stand idle, how many are being opened ahead, how many calls found one ready, what a handshake takes and how long
/// one may stand idle.
fn connections(e: &Endpoint) -> String {
    let ahead = if e.dialling > 0 { format!("+{}", e.dialling) } else { String::new() };
    let (ready, handshake) = (100.0 * e.ready, number(e.handshake_ms));
    format!("{}{ahead} idle, {ready:.0}% ready, {handshake} ms, idle up to {}", e.idle, span(e.idle_most_ms))
}

fn queues(queues: &[Queue]) -> String {
    let row = |q: &Queue| {
        let key = if q.key.is_empty() { "-" } else { &q.key };
        vec![q.partner.clone(), key.to_string(), q.held.to_string(), span(q.oldest_ms)]
    };
    table(
        &["partner", "key", "held", "oldest"],
        &queues.iter().map(row).collect::<Vec<_>>(),
        "nothing is held",
    )
}

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
            number(c.rate),
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
    let mut text = table(&head, &all.clients.iter().map(row).collect::<Vec<_>>(), "nobody has come yet");
    for (network, ms) in &all.blocks {
        text += &format!("blocked  {}  for {} yet\n", plain(network), span(*ms));
    }
    all.floods.iter().for_each(|line| text += &format!("{}\n", plain(line)));
    let held: Vec<String> =
        all.descriptors.iter().map(|h| format!("{} {} of {}", plain(&h.party), h.held, h.most)).collect();
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

fn failures(failures: &[Failure]) -> String {
    let row = |f: &Failure| {
        vec![
            time(f.at),
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
    table(&head, &failures.iter().map(row).collect::<Vec<_>>(), "no attempt has failed lately")
}

fn message(m: &Message) -> String {
    let mut text = format!("{}  {}  {} to {}", plain(&m.id), m.state, plain(&m.class), plain(&m.partner));
    if !m.key.is_empty() {
        text += &format!(", key {}", plain(&m.key));
    }
    text += &format!("\ntaken on  {}\n", time(m.taken));
    let rows: Vec<Vec<String>> = m
        .attempts
        .iter()
        .enumerate()
        .map(|(n, a)| {
            let took = if a.until > a.at { span(((a.until - a.at) / 1000).max(1)) } else { "-".into() };
            let effect = match (a.outcome.as_str(), a.may_have_run) {
                ("ok", _) => "ran",
                (_, true) => "may have run",
                (_, false) => "did not run",
            };
            let endpoint = if a.endpoint.is_empty() { "?" } else { &a.endpoint };
            vec![
                (n + 1).to_string(),
                time(a.at),
                endpoint.to_string(),
                a.outcome.clone(),
                took,
                effect.into(),
            ]
        })
        .collect();
    text += &table(&["attempt", "at", "endpoint", "outcome", "took", "effect"], &rows, "no attempt yet");
    match (m.ended, m.expires) {
        (0, expires) => text += &format!("given up at {}\n", time(expires)),
        (ended, _) => text += &format!("ended     {}  {}\n", time(ended), m.state),
    }
    if m.retry_in_ms > 0 {
        text += &format!("come again after {}\n", span(m.retry_in_ms));
    }
    if m.harmless_until > 0 {
        text += &format!("          not after {}: it may have taken effect\n", time(m.harmless_until));
    }
    text
}

fn done(d: &OrderResult) -> String {
    let what = if d.changed { "done" } else { "it was so already" };
    let copies = match (d.copies, d.others) {
        (_, 0) => String::new(),
        (0, others) => format!(
            "; NONE of the {others} other forwarders has it yet: it is lost with this machine until they are told"
        ),
        (copies, others) => format!("; {copies} of {others} other forwarders have it"),
    };
    format!("{what}; {} calls still out, {} messages held for the partner{copies}\n", d.calls, d.held)
}

fn peers(p: &Peers) -> String {
    let mode = match p.mode.as_str() {
        "caught_up" => "has what the others have",
        "catching_up" => "is catching up",
        "alone" => "has met nobody with the same state yet, and goes on by what it has",
        "displaced" => "TAKES NO PART: another process runs under its name",
        other => other,
    };
    let majority =
        if p.there >= p.majority { "a majority" } else { "NO majority: nothing can be resumed or added" };
    let mut text = format!(
        "{} (start {}) {mode}; {} of {} forwarders are there, {majority}\n",
        plain(&p.name),
        p.start,
        p.there,
        p.members
    );
    if !p.ids_known {
        text.push_str(
            "it does not know yet which ids it let in: its word on payments does not count before it does\n",
        );
    }
    if !p.unkept.is_empty() {
        text += &format!("what was ordered is not kept on this disk: {}\n", plain(&p.unkept));
    }
    let ago = |ms: Option<u64>| ms.map_or("never".into(), |ms| span(ms.max(1)));
    let row = |o: &Peer| {
        let start = if o.start == 0 { "-".into() } else { o.start.to_string() };
        vec![o.name.clone(), o.standing.clone(), span(o.for_ms), start, ago(o.heard_ms), ago(o.same_ms)]
    };
    let head = ["name", "standing", "for", "start", "heard", "same state"];
    text += &table(&head, &p.others.iter().map(row).collect::<Vec<_>>(), "there are no others");
    text += &format!(
        "{} datagrams out ({}), {} in ({})",
        p.sent,
        bytes(p.sent_bytes),
        p.received,
        bytes(p.received_bytes)
    );
    for (why, count) in &p.dropped {
        text += &format!(", {count} dropped as {why}");
    }
    text + "\n"
}

fn state(s: &SiteState) -> String {
    let row = |s: &Statement| {
        let says = if s.detail.is_empty() { s.word.clone() } else { format!("{} {}", s.word, s.detail) };
        let holds = if s.holds { "yes" } else { "no: another stands against it" };
        vec![s.kind.clone(), s.subject.clone(), says, holds.into(), s.id.clone(), time(s.at)]
    };
    let head = ["kind", "name", "says", "holds", "statement", "at (its author's clock)"];
    let rows = s.statements.iter().map(row).collect::<Vec<_>>();
    table(&head, &rows, "nothing has been ordered") + &format!("state {} at {}\n", s.digest, plain(&s.name))
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
        assert_eq!((span(0), span(1500), span(61_000)), ("-".into(), "1.5s".into(), "1m01s".into()));
    }
}
