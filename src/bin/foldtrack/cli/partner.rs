//! `foldtrack partner try`: whether a partner can be reached, step by step, as the forwarder would do it, and what it would be
//! sent. Nothing is sent without `--send`. The running forwarder is not asked, and its journal not touched.

use super::{load, say, Ended, Failure, FAILED, WRONG};
use crate::connections::Connection;
use crate::partner_protocol::{self, PartnerProtocol};
use bytes::Bytes;
use clap::{Args, Subcommand};
use foldtrack_dialect::{CallContext, Meaning, Values};
use foldtrack_tls::certificate;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::{rustls, TlsConnector};

/// How long an answer is waited for.
const ANSWER: Duration = Duration::from_secs(30);

#[derive(Args)]
pub(super) struct Partner {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Connection, TLS, proof and what would be sent, step by step; sends nothing without --send
    Try(Try),
}

#[derive(Args)]
struct Try {
    /// The partner
    name: String,
    /// One of its endpoints; the first if not given
    #[arg(long)]
    endpoint: Option<String>,
    /// The class of the message that is shown; the first of the site if not given
    #[arg(long)]
    class: Option<String>,
    /// Its key
    #[arg(long, default_value = "try")]
    key: String,
    /// Its id, and idempotency key
    #[arg(long)]
    id: Option<String>,
    /// Its body
    #[arg(long, default_value = "{}")]
    body: String,
    /// Sends it, once. It takes effect at the partner like any other message
    #[arg(long)]
    send: bool,
    /// The site file
    #[arg(long, default_value = "site.toml", env = "FOLDTRACK_SITE")]
    site: PathBuf,
}

pub(super) fn partner(words: &Partner) -> Ended {
    let What::Try(words) = &words.what;
    let site = load(&words.site)?;
    let wrong = |text: String| Failure(WRONG, text);
    let names = || site.partners.iter().map(|p| p.name.as_str()).collect::<Vec<_>>().join(", ");
    let partner = site.partners.iter().find(|p| p.name == words.name);
    let partner =
        partner.ok_or_else(|| wrong(format!("no partner {:?}; there are: {}", words.name, names())))?;
    let named = |name: &String| partner.endpoints.iter().find(|e| e.name == *name);
    let endpoint = words.endpoint.as_ref().map_or(partner.endpoints.first(), named);
    let endpoint =
        endpoint.ok_or_else(|| wrong(format!("{} has no such endpoint in the site file", partner.name)))?;
    let class = match &words.class {
        Some(name) => site.classes.iter().find(|c| c.name == *name),
        None => site.classes.first(),
    };
    let class = class.ok_or_else(|| wrong("no such class in the site file".into()))?;
    let (partner_protocols, _file_watcher) = partner_protocol::load(&site).map_err(|e| Failure(FAILED, e))?;
    let protocol = partner_protocols.for_destination(partner.number());
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let id = words.id.clone().unwrap_or_else(|| format!("try-{unix}"));
    let address = endpoint.address;
    let outgoing = CallContext {
        values: Values { id: &id, class: &class.name, key: if class.ordered { &words.key } else { "" } },
        idempotency_key: Some(&id),
        authority: &address.to_string(),
        timeout_us: ANSWER.as_micros() as u64,
    };
    let head = protocol.head(&outgoing, words.body.as_bytes());
    let head =
        head.map_err(|e| Failure(FAILED, format!("this message can't be sent to {}: {e:?}", partner.name)))?;
    let mut text = format!("would send  {} {} to {address}\n", head.method, head.uri);
    for (name, value) in &head.headers {
        let shown =
            if value.is_sensitive() { "(secret)".into() } else { String::from_utf8_lossy(value.as_bytes()) };
        text += &format!("            {name}: {shown}\n");
    }
    say(&text)?;
    let dial = Duration::from_micros(site.calls.connect_timeout);
    crate::runtime().map_err(|e| Failure(FAILED, e))?.block_on(async {
        reach(&protocol, address, dial, unix).await?;
        if !words.send {
            return say("nothing was sent: --send does\n");
        }
        let request = Request::from_parts(head, Full::new(Bytes::from(words.body.clone())));
        send(&protocol, address, dial, request, unix).await
    })
}

/// Connects, and tells what TLS shows.
async fn reach(protocol: &PartnerProtocol, address: SocketAddr, dial: Duration, unix: u64) -> Ended {
    let failed = |what: &str, why: String| Failure(FAILED, format!("{what:<12}{why}"));
    let begun = Instant::now();
    let stream = timeout(dial, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| failed("connection", format!("none within {dial:?}")))?;
    let stream = stream.map_err(|e| failed("connection", e.to_string()))?;
    say(&format!("connection  {:.1} ms\n", begun.elapsed().as_secs_f64() * 1e3))?;
    let Some(tls) = &protocol.encryption else { return say("TLS         none: plain text\n") };
    let config = tls.config.borrow().clone();
    let begun = Instant::now();
    let shaken = timeout(dial, TlsConnector::from(config).connect(tls.name.clone(), stream)).await;
    let shaken = shaken.map_err(|_| failed("TLS", format!("stands still for {dial:?}")))?;
    let shaken = shaken.map_err(|e| {
        let told = e.get_ref().and_then(|inner| inner.downcast_ref::<rustls::Error>());
        failed("TLS", told.map_or_else(|| e.to_string(), foldtrack_tls::describe_error))
    })?;
    let session = shaken.get_ref().1;
    let version = session.protocol_version().map_or_else(String::new, |v| format!("{v:?}"));
    say(&format!("TLS         {version}, {:.1} ms\n", begun.elapsed().as_secs_f64() * 1e3))?;
    for certificate in session.peer_certificates().unwrap_or_default() {
        let told = match certificate::parse_der(certificate) {
            Ok(f) => {
                format!("{}, by {}, {} days yet, {}", f.subject, f.issuer, days(f.not_after, unix), f.pin)
            }
            Err(problem) => problem,
        };
        say(&format!("            {told}\n"))?;
    }
    Ok(())
}

fn days(not_after: i64, unix: u64) -> i64 {
    (not_after - (unix / 1_000_000) as i64).div_euclid(86_400)
}

/// Sends it once, and tells what the answer means.
async fn send(
    protocol: &PartnerProtocol, address: SocketAddr, dial: Duration, request: Request<Full<Bytes>>, unix: u64,
) -> Ended {
    let failed = |why: &str| Failure(FAILED, format!("sent        {why}"));
    let opened = timeout(dial, Connection::open(address, protocol.encryption.as_ref(), None)).await;
    let mut connection = opened.ok().and_then(Result::ok).ok_or_else(|| failed("no connection"))?;
    let begun = Instant::now();
    let answer = timeout(ANSWER, connection.send(request)).await;
    let answer = answer.map_err(|_| failed("no answer in time: it may have run"))?;
    let answer = answer.map_err(|_| failed("the connection ended without an answer: it may have run"))?;
    let (status, headers) = (answer.status(), answer.headers());
    let meaning = protocol.dialect.meaning(status.as_u16(), headers);
    let mut text = format!(
        "answered    {status} after {:.1} ms: {}\n",
        begun.elapsed().as_secs_f64() * 1e3,
        words(meaning)
    );
    if let Some(wait) = protocol.dialect.wait(headers, unix) {
        text += &format!("wait        {:.3} s\n", wait as f64 / 1e6);
    }
    if let Some(limit) = protocol.dialect.limit(headers) {
        text += &format!(
            "limit       {:.2} calls a second, {:.0}% of them left\n",
            limit.rate,
            100.0 * limit.remaining
        );
    }
    say(&text)
}

fn words(meaning: Meaning) -> &'static str {
    match meaning {
        Meaning::Delivered => "delivered",
        Meaning::RefusedForGood => "refused: a message would end",
        Meaning::Wait => "wait: a message would go again",
        Meaning::MayHaveRun => "an error, and it may have run",
        Meaning::HasNotRun => "an error, and it has not run",
        Meaning::NotSent => "not sent on",
        Meaning::Over => "over there",
    }
}
