//! `foldtrack partner try`: tests the connection to a partner step by step, as the forwarder makes
//! it, and shows the request that would be sent. Nothing is sent without `--send`. A running
//! forwarder and its journal are not involved.

use super::{load, print, CommandError, CommandResult, EXIT_FAILED, EXIT_USAGE};
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

/// Timeout of the request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Args)]
pub(super) struct Partner {
    #[command(subcommand)]
    command: PartnerCommand,
}

#[derive(Subcommand)]
enum PartnerCommand {
    /// Tests connection and TLS step by step and shows the request that would be sent; sends it
    /// only with --send
    Try(TryArgs),
}

#[derive(Args)]
struct TryArgs {
    /// The partner
    name: String,
    /// One of the partner's endpoints; by default the first
    #[arg(long)]
    endpoint: Option<String>,
    /// Class of the test message; by default the first of the site
    #[arg(long)]
    class: Option<String>,
    /// Key of the test message
    #[arg(long, default_value = "try")]
    key: String,
    /// Id and idempotency key of the test message
    #[arg(long)]
    id: Option<String>,
    /// Body of the test message
    #[arg(long, default_value = "{}")]
    body: String,
    /// Send the test message once. It takes effect at the partner like any other message
    #[arg(long)]
    send: bool,
    /// The site file
    #[arg(long, default_value = "site.toml", env = "FOLDTRACK_SITE")]
    site: PathBuf,
}

/// Runs `foldtrack partner try`.
pub(super) fn partner(args: &Partner) -> CommandResult {
    let PartnerCommand::Try(args) = &args.command;
    let site = load(&args.site)?;
    let usage_error = |text: String| CommandError(EXIT_USAGE, text);
    let names = || site.partners.iter().map(|p| p.name.as_str()).collect::<Vec<_>>().join(", ");
    let partner = site.partners.iter().find(|p| p.name == args.name);
    let partner = partner.ok_or_else(|| {
        usage_error(format!("no such partner {:?}; the site file has: {}", args.name, names()))
    })?;
    let by_name = |name: &String| partner.endpoints.iter().find(|e| e.name == *name);
    let endpoint = args.endpoint.as_ref().map_or(partner.endpoints.first(), by_name);
    let endpoint = endpoint
        .ok_or_else(|| usage_error(format!("{} has no such endpoint in the site file", partner.name)))?;
    let class = match &args.class {
        Some(name) => site.classes.iter().find(|c| c.name == *name),
        None => site.classes.first(),
    };
    let class = class.ok_or_else(|| usage_error("no such class in the site file".into()))?;
    let (partner_protocols, _file_watcher) =
        partner_protocol::load(&site).map_err(|e| CommandError(EXIT_FAILED, e))?;
    let protocol = partner_protocols.for_destination(partner.number());
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let id = args.id.clone().unwrap_or_else(|| format!("try-{unix}"));
    let address = endpoint.address;
    let context = CallContext {
        values: Values { id: &id, class: &class.name, key: if class.ordered { &args.key } else { "" } },
        idempotency_key: Some(&id),
        authority: &address.to_string(),
        timeout_us: REQUEST_TIMEOUT.as_micros() as u64,
    };
    let head = protocol.head(&context, args.body.as_bytes());
    let head = head.map_err(|e| {
        CommandError(EXIT_FAILED, format!("this message cannot be sent to {}: {e:?}", partner.name))
    })?;
    let mut text = format!("would send  {} {} to {address}\n", head.method, head.uri);
    for (name, value) in &head.headers {
        let shown =
            if value.is_sensitive() { "(secret)".into() } else { String::from_utf8_lossy(value.as_bytes()) };
        text += &format!("            {name}: {shown}\n");
    }
    print(&text)?;
    let connect_timeout = Duration::from_micros(site.calls.connect_timeout);
    crate::runtime().map_err(|e| CommandError(EXIT_FAILED, e))?.block_on(async {
        check_connection(&protocol, address, connect_timeout, unix).await?;
        if !args.send {
            return print("nothing was sent: use --send to send the message\n");
        }
        let request = Request::from_parts(head, Full::new(Bytes::from(args.body.clone())));
        send(&protocol, address, connect_timeout, request, unix).await
    })
}

/// Connects, and prints the TLS version and the partner's certificates.
async fn check_connection(
    protocol: &PartnerProtocol, address: SocketAddr, connect_timeout: Duration, unix: u64,
) -> CommandResult {
    let failed = |what: &str, why: String| CommandError(EXIT_FAILED, format!("{what:<12}{why}"));
    let started = Instant::now();
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| failed("connection", format!("none within {connect_timeout:?}")))?;
    let stream = stream.map_err(|e| failed("connection", e.to_string()))?;
    print(&format!("connection  {:.1} ms\n", started.elapsed().as_secs_f64() * 1e3))?;
    let Some(tls) = &protocol.encryption else { return print("TLS         none: plain text\n") };
    let config = tls.config.borrow().clone();
    let started = Instant::now();
    let tls_stream =
        timeout(connect_timeout, TlsConnector::from(config).connect(tls.name.clone(), stream)).await;
    let tls_stream =
        tls_stream.map_err(|_| failed("TLS", format!("no handshake within {connect_timeout:?}")))?;
    let tls_stream = tls_stream.map_err(|e| {
        let description = e.get_ref().and_then(|inner| inner.downcast_ref::<rustls::Error>());
        failed("TLS", description.map_or_else(|| e.to_string(), foldtrack_tls::describe_error))
    })?;
    let session = tls_stream.get_ref().1;
    let version = session.protocol_version().map_or_else(String::new, |v| format!("{v:?}"));
    print(&format!("TLS         {version}, {:.1} ms\n", started.elapsed().as_secs_f64() * 1e3))?;
    for certificate in session.peer_certificates().unwrap_or_default() {
        let description = match certificate::parse_der(certificate) {
            Ok(f) => {
                format!(
                    "{}, by {}, {} days left, {}",
                    f.subject,
                    f.issuer,
                    days_until(f.not_after, unix),
                    f.pin
                )
            }
            Err(problem) => problem,
        };
        print(&format!("            {description}\n"))?;
    }
    Ok(())
}

/// Days until a time in Unix seconds, counted from `unix` in Unix microseconds.
fn days_until(not_after: i64, unix: u64) -> i64 {
    (not_after - (unix / 1_000_000) as i64).div_euclid(86_400)
}

/// Sends the request once, and prints how the forwarder would interpret the response.
async fn send(
    protocol: &PartnerProtocol, address: SocketAddr, connect_timeout: Duration,
    request: Request<Full<Bytes>>, unix: u64,
) -> CommandResult {
    let failed = |why: &str| CommandError(EXIT_FAILED, format!("sent        {why}"));
    let opened =
        timeout(connect_timeout, Connection::open(address, protocol.encryption.as_ref(), None)).await;
    let mut connection = opened.ok().and_then(Result::ok).ok_or_else(|| failed("no connection"))?;
    let started = Instant::now();
    let response = timeout(REQUEST_TIMEOUT, connection.send(request)).await;
    let response = response.map_err(|_| failed("no response in time: it may have run"))?;
    let response =
        response.map_err(|_| failed("the connection closed without a response: it may have run"))?;
    let (status, headers) = (response.status(), response.headers());
    let meaning = protocol.dialect.meaning(status.as_u16(), headers);
    let mut text = format!(
        "answered    {status} after {:.1} ms: {}\n",
        started.elapsed().as_secs_f64() * 1e3,
        describe_meaning(meaning)
    );
    if let Some(wait) = protocol.dialect.wait(headers, unix) {
        text += &format!("wait        {:.3} s\n", wait as f64 / 1e6);
    }
    if let Some(limit) = protocol.dialect.limit(headers) {
        text += &format!(
            "limit       {:.2} calls per second, {:.0}% of the quota left\n",
            limit.rate,
            100.0 * limit.remaining
        );
    }
    print(&text)
}

/// A response's meaning as text.
fn describe_meaning(meaning: Meaning) -> &'static str {
    match meaning {
        Meaning::Delivered => "delivered",
        Meaning::RefusedForGood => "refused: the message would not be retried",
        Meaning::Wait => "wait: the message would be retried",
        Meaning::MayHaveRun => "an error, and it may have run",
        Meaning::HasNotRun => "an error, and it has not run",
        Meaning::NotSent => "the forwarder at the other end did not send the message on",
        Meaning::Over => "settled at the forwarder at the other end",
    }
}
