//! Partners behind TLS: invalid certificates, key rotation under load, and stalled handshakes.

use super::site_process::*;
use foldtrack_control::{ControlCommand, ControlResponse};
use foldtrack_standin::http::{Reply, Server, OK};
use foldtrack_standin::tls::{Authority, Issued, TlsFrontend};
use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const MS: fn(u64) -> Duration = Duration::from_millis;
const NAME: &str = "pay.example";

/// A partner behind TLS, and the files that a site needs to reach it.
struct TlsPartner {
    authority: Authority,
    server: Arc<Server>,
    front: Arc<TlsFrontend>,
    folder: TempDir,
}

impl TlsPartner {
    fn start(issue: impl Fn(&Authority) -> Issued) -> TlsPartner {
        let authority = Authority::new("the partner's");
        let server = Server::start(|_| OK);
        let front = TlsFrontend::start(server.address, Authority::server(&issue(&authority), None));
        let partner = TlsPartner { authority, server, front, folder: tempfile::tempdir().unwrap() };
        partner.write("roots.pem", &partner.authority.pem, 0o644);
        partner
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn write(&self, name: &str, text: &str, mode: u32) {
        let new = self.path("new");
        fs::write(&new, text).unwrap();
        fs::set_permissions(&new, Permissions::from_mode(mode)).unwrap();
        fs::rename(&new, self.path(name)).unwrap();
    }

    fn site_config(&self, extra_lines: &str) -> SiteConfig {
        let mut config = SiteConfig::with_endpoints(&[("p", "a", self.front.address)]);
        let roots = self.path("roots.pem").display().to_string();
        // A connection that was opened in advance uses the keys of that time, and may be used as
        // long as it is open.
        config.calls = "open-ahead = false";
        config.partner =
            format!("[partner.p.tls]\nserver-name = \"{NAME}\"\nroots = \"{roots}\"\n{extra_lines}");
        config
    }

    fn site(&self, extra_lines: &str) -> SiteProcess {
        SiteProcess::start(&self.site_config(extra_lines))
    }
}

/// A valid certificate.
fn valid_certificate(authority: &Authority) -> Issued {
    authority.issue(&[NAME.into()], (2020, 2090))
}

/// Submits a message that must be accepted.
fn submit(site: &SiteProcess, id: &str) {
    assert_eq!(site.post("fee", "", id, "x").0, 202, "{id}");
}

/// A message at a time when no attempt is in flight; an attempt in flight rightly counts as may
/// have run.
fn message_without_attempt_in_flight(site: &SiteProcess, id: &str) -> foldtrack_control::Message {
    let mut seen = None;
    eventually("no attempt is out", || {
        seen = site.message(id).filter(|m| m.attempts.iter().all(|a| a.until > 0));
        seen.is_some()
    });
    seen.unwrap()
}

/// The causes of the recent failed attempts.
fn causes(site: &SiteProcess) -> Vec<String> {
    match site.request(ControlCommand::Failures { most: None }).unwrap() {
        ControlResponse::Failures(all) => all.into_iter().map(|f| f.cause).collect(),
        response => panic!("{response:?}"),
    }
}

#[test]
fn messages_go_over_tls_and_sessions_are_resumed() {
    let partner = TlsPartner::start(valid_certificate);
    let site = partner.site("least-version = \"1.3\"\n");
    for n in 0..20 {
        submit(&site, &format!("m{n}"));
    }
    eventually("all are delivered", || site.status().delivered == 20);
    assert_eq!(partner.server.seen().len(), 20);
    // Connections stay open; later ones resume the TLS session.
    sleep(MS(300));
    let (full, before) = (partner.front.full.load(Ordering::SeqCst), partner.server.seen().len());
    partner.server.behave(|_| Reply::Status(200, "Connection: close\r\n"));
    for n in 0..5 {
        submit(&site, &format!("n{n}"));
        eventually("it is delivered", || partner.server.seen().len() == before + n + 1);
        sleep(MS(50));
    }
    eventually("all are delivered", || site.status().delivered == 25);
    assert_eq!(partner.front.full.load(Ordering::SeqCst), full);
    assert!(partner.front.resumed.load(Ordering::SeqCst) >= 3);
    assert_eq!(partner.front.broken.load(Ordering::SeqCst), 0);
}

/// With an invalid certificate nothing has run, the cause is reported as text, and the payment is
/// delivered once the certificate is valid.
#[test]
fn an_invalid_certificate_is_reported_and_the_attempt_has_not_run() {
    let other_authority = Authority::new("somebody else's");
    let partner = TlsPartner::start(valid_certificate);
    let years = |from, to| partner.authority.issue(&[NAME.into()], (from, to));
    for (n, (issued, cause)) in [
        (years(2020, 2021), "has expired"),
        (years(2080, 2090), "not valid yet"),
        (partner.authority.issue(&["school.example".into()], (2020, 2090)), "for another name"),
        (other_authority.issue(&[NAME.into()], (2020, 2090)), "an issuer who is not trusted here"),
    ]
    .into_iter()
    .enumerate()
    {
        partner.front.change(Authority::server(&issued, None));
        let site = partner.site("");
        let id = format!("m{n}");
        submit(&site, &id);
        eventually(cause, || causes(&site).iter().any(|text| text.contains(cause)));
        let message = message_without_attempt_in_flight(&site, &id);
        assert!(message.attempts.iter().all(|a| !a.may_have_run), "{message:?}");
        let shown = String::from_utf8_lossy(&site.run_command(&["failures"]).stdout).into_owned();
        assert!(shown.contains(cause), "{shown}");
        partner.front.change(Authority::server(&valid_certificate(&partner.authority), None));
        eventually("it is delivered once the certificate is valid", || {
            site.message_state(&id) == "delivered"
        });
    }
    assert_eq!(partner.server.seen().len(), 4, "each once");
    // A certificate of 40 KB is accepted.
    let mut names: Vec<String> = (0..1_000).map(|n| format!("a-rather-long-name-{n:05}.example")).collect();
    names.push(NAME.into());
    partner.front.change(Authority::server(&partner.authority.issue(&names, (2020, 2090)), None));
    let site = partner.site("");
    submit(&site, "large");
    eventually("it is delivered", || site.message_state("large") == "delivered");
}

/// A certificate whose key is not pinned is rejected. During a rotation, the current and the next
/// key are both pinned.
#[test]
fn a_key_that_is_not_pinned_is_rejected() {
    let partner = TlsPartner::start(valid_certificate);
    let (now, next) = (valid_certificate(&partner.authority), valid_certificate(&partner.authority));
    partner.front.change(Authority::server(&now, None));
    let pin = |issued: &Issued| {
        foldtrack_tls::certificate::parse_pem(issued.certificate_pem().as_bytes()).unwrap()[0].pin
    };
    let config = partner.site_config(&format!("pins = [\"{}\", \"{}\"]\n", pin(&now), pin(&next)));
    let site = SiteProcess::start(&config);
    submit(&site, "now");
    eventually("delivered with the first key", || site.message_state("now") == "delivered");
    partner.front.change(Authority::server(&next, None));
    partner.server.behave(|_| Reply::Status(200, "Connection: close\r\n"));
    submit(&site, "next");
    eventually("delivered with the second key", || site.message_state("next") == "delivered");
    partner.front.change(Authority::server(&valid_certificate(&partner.authority), None));
    partner.server.behave(|_| OK);
    sleep(MS(100));
    submit(&site, "other");
    submit(&site, "another");
    eventually("the cause is reported", || {
        causes(&site).iter().any(|c| c.contains("none of those that are pinned"))
    });
    assert_eq!(partner.server.seen().len(), 2);
}

/// A server that stalls at any byte of the handshake delays a call no longer than the connect
/// timeout.
#[test]
fn a_stalled_handshake_times_out_and_the_attempt_has_not_run() {
    let partner = TlsPartner::start(valid_certificate);
    for (n, bytes) in [0, 1, 100, 300, 600].into_iter().enumerate() {
        partner.front.stall_after(Some(bytes));
        let site = partner.site("");
        let id = format!("m{n}");
        submit(&site, &id);
        eventually("the cause is reported", || {
            causes(&site).iter().any(|c| c.contains("no connection in time"))
        });
        let first = site.message(&id).unwrap().attempts.remove(0);
        assert!(!first.may_have_run && first.until - first.at < 3_000_000, "{first:?}");
        partner.front.stall_after(None);
        eventually("it is delivered", || site.message_state(&id) == "delivered");
    }
}

/// The client certificate and its key are rotated while payments are sent: none is lost, none is
/// sent twice.
#[test]
fn a_client_certificate_is_rotated_under_load() {
    let partner = TlsPartner::start(valid_certificate);
    let (old, new) = (Authority::new("old"), Authority::new("new"));
    let client = |authority: &Authority| authority.issue(&["hradec".into()], (2020, 2090));
    let (first, second) = (client(&old), client(&new));
    partner.front.change(Authority::server(&valid_certificate(&partner.authority), Some(&old)));
    partner.write("client.pem", &first.certificate_pem(), 0o644);
    partner.write("client.key", &first.key_pem(), 0o600);
    let (chain, key) = (partner.path("client.pem"), partner.path("client.key"));
    let extra_lines = format!("client-certificate = {chain:?}\nclient-key = {key:?}\n");
    let site = partner.site(&extra_lines);
    let mut sent = 0;
    let mut submit_for = |span: Duration| {
        let from = Instant::now();
        while from.elapsed() < span {
            submit(&site, &format!("m{sent}"));
            sent += 1;
            sleep(MS(2));
        }
    };
    submit_for(MS(500));
    // A key that does not match the certificate is rejected: the previous pair stays in use.
    partner.write("client.key", &second.key_pem(), 0o600);
    submit_for(MS(1_500));
    partner.write("client.pem", &second.certificate_pem(), 0o644);
    submit_for(MS(1_500));
    // From now on the partner accepts only the new certificate.
    partner.front.change(Authority::server(&valid_certificate(&partner.authority), Some(&new)));
    partner.server.behave(|_| Reply::Status(200, "Connection: close\r\n"));
    submit_for(MS(1_000));
    eventually("all are delivered", || site.status().delivered == sent);
    let mut ids = partner.server.ids();
    ids.sort();
    ids.dedup();
    assert_eq!((ids.len() as u64, partner.server.seen().len() as u64), (sent, sent), "each once");
    // Without a client certificate the partner rejects the connection after the client's part of
    // the handshake, when the request has already been written: the cause is reported, and the
    // attempt has not run.
    let without = partner.site("");
    submit(&without, "w");
    eventually("the cause is reported", || {
        causes(&without).iter().any(|c| c.contains("CertificateRequired"))
    });
    assert!(message_without_attempt_in_flight(&without, "w").attempts.iter().all(|a| !a.may_have_run));
    assert_eq!(partner.server.seen().len() as u64, sent);
}

#[test]
fn keys_are_listed_without_their_secrets_and_secrets_are_never_sent_unencrypted() {
    let partner = TlsPartner::start(valid_certificate);
    let client = partner.authority.issue(&["hradec".into()], (2020, 2090));
    partner.write("client.pem", &client.certificate_pem(), 0o644);
    partner.write("client.key", &client.key_pem(), 0o600);
    let (chain, key) = (partner.path("client.pem"), partner.path("client.key"));
    let site = partner.site(&format!("client-certificate = {chain:?}\nclient-key = {key:?}\n"));
    let shown = site.run_command(&["keys", site.site_file().to_str().unwrap()]);
    let text = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(shown.status.success(), "{}", String::from_utf8_lossy(&shown.stderr));
    for part in ["hradec", "2090-01-01", "client.pem", "sha256/", "roots.pem"] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert!(!text.contains("PRIVATE"), "{text}");
    // A key file that others may read is reported before any message is accepted.
    partner.write("client.key", &client.key_pem(), 0o644);
    let other = SiteProcess::prepared(
        &partner.site_config(&format!("client-certificate = {chain:?}\nclient-key = {key:?}\n")),
    );
    let output = other.run_command(&["serve", "--site", other.site_file().to_str().unwrap()]);
    let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output_text.contains("partner.p.tls") && output_text.contains("chmod 600"), "{output_text}");
    // A secret must not be sent over an unencrypted connection to another host.
    let token = partner.path("token");
    partner.write("token", "t\n", 0o600);
    let mut config = SiteConfig::with_endpoints(&[("p", "a", partner.server.address)]);
    config.partner = format!("speaks = \"http\"\npath = \"/\"\n[partner.p.proof]\nsecret-file = {token:?}\n");
    let plain = SiteProcess::start(&config);
    let far =
        ControlCommand::Add { partner: "p".into(), endpoint: "far".into(), address: "192.0.2.7:80".into() };
    assert!(plain.request(far).unwrap_err().to_string().contains("in plain text"));
    config.endpoints[0].2 = "192.0.2.7:80".parse().unwrap();
    let other = SiteProcess::prepared(&config);
    let output = other.run_command(&["check", other.site_file().to_str().unwrap()]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("partner.p.tls: is missing"));
}

/// `partner try` tests a partner step by step. It sends a message only with `--send`, and shows no
/// secret.
#[test]
fn partner_try_sends_nothing_without_the_send_flag() {
    let partner = TlsPartner::start(valid_certificate);
    partner.write("token", "hidden-token\n", 0o600);
    let (roots, token) = (partner.path("roots.pem"), partner.path("token"));
    let mut config = SiteConfig::with_endpoints(&[("p", "a", partner.front.address)]);
    config.partner = format!(
        "speaks = \"http\"\npath = \"/v1/{{class}}/{{id}}\"\n[partner.p.proof]\nsecret-file = {token:?}\n\
         [partner.p.tls]\nserver-name = \"{NAME}\"\nroots = {roots:?}\n"
    );
    let site = SiteProcess::prepared(&config);
    let try_partner = |extra_args: &[&str]| {
        let file = site.site_file().display().to_string();
        let output = site.run_command(
            &[&["partner", "try", "p", "--site", &file, "--class", "fee", "--id", "t1"], extra_args].concat(),
        );
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    };
    let (code, text) = try_partner(&[]);
    assert_eq!(code, Some(0), "{text}");
    for part in
        ["POST /v1/fee/t1", "authorization: (secret)", "TLSv1_3", "CN=pay.example", "nothing was sent"]
    {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert!(!text.contains("hidden") && partner.server.seen().is_empty(), "{text}");
    partner.server.behave(|_| Reply::Status(429, "Retry-After: 2.5\r\n"));
    let (code, text) = try_partner(&["--send"]);
    assert!(code == Some(0) && text.contains("429") && text.contains("wait        2.500 s"), "{text}");
    let seen = partner.server.seen();
    assert_eq!((seen.len(), seen[0].headers["authorization"].as_str()), (1, "Bearer hidden-token"));
    partner.front.change(Authority::server(&partner.authority.issue(&[NAME.into()], (2020, 2021)), None));
    let (code, text) = try_partner(&["--send"]);
    assert!(code == Some(1) && text.contains("has expired"), "{text}");
    assert_eq!(partner.server.seen().len(), 1, "nothing is sent if the certificate chain is invalid");
    let (code, text) = try_partner(&["--endpoint", "b"]);
    assert!(code == Some(2) && text.contains("no such endpoint"), "{text}");
}
