//! Partners behind TLS: certificates that are wrong in every way, keys that change under load, handshakes that stand still.

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

/// A partner behind TLS, and the files that a site reaches it with.
struct Pay {
    authority: Authority,
    server: Arc<Server>,
    front: Arc<TlsFrontend>,
    folder: TempDir,
}

impl Pay {
    fn start(issue: impl Fn(&Authority) -> Issued) -> Pay {
        let authority = Authority::new("the partner's");
        let server = Server::start(|_| OK);
        let front = TlsFrontend::start(server.address, Authority::server(&issue(&authority), None));
        let pay = Pay { authority, server, front, folder: tempfile::tempdir().unwrap() };
        pay.write("roots.pem", &pay.authority.pem, 0o644);
        pay
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

    fn plan(&self, more: &str) -> SiteConfig {
        let mut plan = SiteConfig::with_endpoints(&[("p", "a", self.front.address)]);
        let roots = self.path("roots.pem").display().to_string();
        // What is opened ahead has the keys of its time, and may be used as long as it is open.
        plan.calls = "open-ahead = false";
        plan.partner = format!("[partner.p.tls]\nserver-name = \"{NAME}\"\nroots = \"{roots}\"\n{more}");
        plan
    }

    fn site(&self, more: &str) -> SiteProcess {
        SiteProcess::start(&self.plan(more))
    }
}

fn sound(authority: &Authority) -> Issued {
    authority.issue(&[NAME.into()], (2020, 2090))
}

fn submit(site: &SiteProcess, id: &str) {
    assert_eq!(site.post("fee", "", id, "x").0, 202, "{id}");
}

/// A message in a moment in which no attempt is out: one without an end may have run, rightly.
fn between_attempts(site: &SiteProcess, id: &str) -> foldtrack_control::Message {
    let mut seen = None;
    eventually("no attempt is out", || {
        seen = site.message(id).filter(|m| m.attempts.iter().all(|a| a.until > 0));
        seen.is_some()
    });
    seen.unwrap()
}

fn causes(site: &SiteProcess) -> Vec<String> {
    match site.request(ControlCommand::Failures { most: None }).unwrap() {
        ControlResponse::Failures(all) => all.into_iter().map(|f| f.cause).collect(),
        told => panic!("{told:?}"),
    }
}

#[test]
fn messages_go_over_tls_and_sessions_are_resumed() {
    let pay = Pay::start(sound);
    let site = pay.site("least-version = \"1.3\"\n");
    for n in 0..20 {
        submit(&site, &format!("m{n}"));
    }
    eventually("all are delivered", || site.status().delivered == 20);
    assert_eq!(pay.server.seen().len(), 20);
    // Connections are kept; what is opened later resumes.
    sleep(MS(300));
    let (full, before) = (pay.front.full.load(Ordering::SeqCst), pay.server.seen().len());
    pay.server.behave(|_| Reply::Status(200, "Connection: close\r\n"));
    for n in 0..5 {
        submit(&site, &format!("n{n}"));
        eventually("it is delivered", || pay.server.seen().len() == before + n + 1);
        sleep(MS(50));
    }
    eventually("all are delivered", || site.status().delivered == 25);
    assert_eq!(pay.front.full.load(Ordering::SeqCst), full);
    assert!(pay.front.resumed.load(Ordering::SeqCst) >= 3);
    assert_eq!(pay.front.broken.load(Ordering::SeqCst), 0);
}

/// Whatever is wrong with a certificate, nothing has run, the cause is told in words, and once it is mended the payment goes.
#[test]
fn what_is_wrong_with_a_certificate_is_told_and_has_not_run() {
    let foreign = Authority::new("somebody else's");
    let pay = Pay::start(sound);
    let years = |from, to| pay.authority.issue(&[NAME.into()], (from, to));
    for (n, (issued, cause)) in [
        (years(2020, 2021), "has expired"),
        (years(2080, 2090), "not valid yet"),
        (pay.authority.issue(&["school.example".into()], (2020, 2090)), "for another name"),
        (foreign.issue(&[NAME.into()], (2020, 2090)), "an issuer who is not trusted here"),
    ]
    .into_iter()
    .enumerate()
    {
        pay.front.change(Authority::server(&issued, None));
        let site = pay.site("");
        let id = format!("m{n}");
        submit(&site, &id);
        eventually(cause, || causes(&site).iter().any(|told| told.contains(cause)));
        let message = between_attempts(&site, &id);
        assert!(message.attempts.iter().all(|a| !a.may_have_run), "{message:?}");
        let shown = String::from_utf8_lossy(&site.run_command(&["failures"]).stdout).into_owned();
        assert!(shown.contains(cause), "{shown}");
        pay.front.change(Authority::server(&sound(&pay.authority), None));
        eventually("it goes once the certificate is right", || site.message_state(&id) == "delivered");
    }
    assert_eq!(pay.server.seen().len(), 4, "each once");
    // One of 40 KB is only large.
    let mut names: Vec<String> = (0..1_000).map(|n| format!("a-rather-long-name-{n:05}.example")).collect();
    names.push(NAME.into());
    pay.front.change(Authority::server(&pay.authority.issue(&names, (2020, 2090)), None));
    let site = pay.site("");
    submit(&site, "large");
    eventually("it goes", || site.message_state("large") == "delivered");
}

/// A pin that the partner's key does not have is as good as no certificate; the next pin stands beside it during a change.
#[test]
fn pins_are_kept_to() {
    let pay = Pay::start(sound);
    let (now, next) = (sound(&pay.authority), sound(&pay.authority));
    pay.front.change(Authority::server(&now, None));
    let pin = |issued: &Issued| {
        foldtrack_tls::certificate::parse_pem(issued.certificate_pem().as_bytes()).unwrap()[0].pin
    };
    let plan = pay.plan(&format!("pins = [\"{}\", \"{}\"]\n", pin(&now), pin(&next)));
    let site = SiteProcess::start(&plan);
    submit(&site, "now");
    eventually("by the first", || site.message_state("now") == "delivered");
    pay.front.change(Authority::server(&next, None));
    pay.server.behave(|_| Reply::Status(200, "Connection: close\r\n"));
    submit(&site, "next");
    eventually("by the second", || site.message_state("next") == "delivered");
    pay.front.change(Authority::server(&sound(&pay.authority), None));
    pay.server.behave(|_| OK);
    sleep(MS(100));
    submit(&site, "other");
    submit(&site, "another");
    eventually("it is told", || causes(&site).iter().any(|c| c.contains("none of those that are pinned")));
    assert_eq!(pay.server.seen().len(), 2);
}

/// A server that stands still at whichever byte of the handshake holds a call for the time that a dial has, and no longer.
#[test]
fn a_handshake_that_stands_still_ends_in_time_and_has_not_run() {
    let pay = Pay::start(sound);
    for (n, bytes) in [0, 1, 100, 300, 600].into_iter().enumerate() {
        pay.front.stall_after(Some(bytes));
        let site = pay.site("");
        let id = format!("m{n}");
        submit(&site, &id);
        eventually("it is told", || causes(&site).iter().any(|c| c.contains("no connection in time")));
        let first = site.message(&id).unwrap().attempts.remove(0);
        assert!(!first.may_have_run && first.until - first.at < 3_000_000, "{first:?}");
        pay.front.stall_after(None);
        eventually("it goes", || site.message_state(&id) == "delivered");
    }
}

/// The certificate that is shown to the partner, and its key, change while payments go: none is lost, none goes twice.
#[test]
fn a_client_certificate_changes_under_load() {
    let pay = Pay::start(sound);
    let (old, new) = (Authority::new("old"), Authority::new("new"));
    let client = |authority: &Authority| authority.issue(&["hradec".into()], (2020, 2090));
    let (first, second) = (client(&old), client(&new));
    pay.front.change(Authority::server(&sound(&pay.authority), Some(&old)));
    pay.write("client.pem", &first.certificate_pem(), 0o644);
    pay.write("client.key", &first.key_pem(), 0o600);
    let (chain, key) = (pay.path("client.pem"), pay.path("client.key"));
    let more = format!("client-certificate = {chain:?}\nclient-key = {key:?}\n");
    let site = pay.site(&more);
    let mut sent = 0;
    let mut go_on = |span: Duration| {
        let from = Instant::now();
        while from.elapsed() < span {
            submit(&site, &format!("m{sent}"));
            sent += 1;
            sleep(MS(2));
        }
    };
    go_on(MS(500));
    // A key that does not go with the certificate is not taken: what was there stays.
    pay.write("client.key", &second.key_pem(), 0o600);
    go_on(MS(1_500));
    pay.write("client.pem", &second.certificate_pem(), 0o644);
    go_on(MS(1_500));
    // From now on the partner takes only the new one.
    pay.front.change(Authority::server(&sound(&pay.authority), Some(&new)));
    pay.server.behave(|_| Reply::Status(200, "Connection: close\r\n"));
    go_on(MS(1_000));
    eventually("all are delivered", || site.status().delivered == sent);
    let mut ids = pay.server.ids();
    ids.sort();
    ids.dedup();
    assert_eq!((ids.len() as u64, pay.server.seen().len() as u64), (sent, sent), "each once");
    // With none at all it is refused, behind the client's part of the handshake and when its request is written already: that
    // is told, and has not run.
    let without = pay.site("");
    submit(&without, "w");
    eventually("it is told", || causes(&without).iter().any(|c| c.contains("CertificateRequired")));
    assert!(between_attempts(&without, "w").attempts.iter().all(|a| !a.may_have_run));
    assert_eq!(pay.server.seen().len() as u64, sent);
}

#[test]
fn keys_are_listed_without_being_shown_and_secrets_never_go_in_plain_text() {
    let pay = Pay::start(sound);
    let client = pay.authority.issue(&["hradec".into()], (2020, 2090));
    pay.write("client.pem", &client.certificate_pem(), 0o644);
    pay.write("client.key", &client.key_pem(), 0o600);
    let (chain, key) = (pay.path("client.pem"), pay.path("client.key"));
    let site = pay.site(&format!("client-certificate = {chain:?}\nclient-key = {key:?}\n"));
    let shown = site.run_command(&["keys", site.site_file().to_str().unwrap()]);
    let text = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(shown.status.success(), "{}", String::from_utf8_lossy(&shown.stderr));
    for part in ["hradec", "2090-01-01", "client.pem", "sha256/", "roots.pem"] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert!(!text.contains("PRIVATE"), "{text}");
    // One that others may read is told before anything is taken on.
    pay.write("client.key", &client.key_pem(), 0o644);
    let other =
        SiteProcess::prepared(&pay.plan(&format!("client-certificate = {chain:?}\nclient-key = {key:?}\n")));
    let told = other.run_command(&["serve", "--site", other.site_file().to_str().unwrap()]);
    let told = String::from_utf8_lossy(&told.stderr).into_owned();
    assert!(told.contains("partner.p.tls") && told.contains("chmod 600"), "{told}");
    // A secret over a wire that others may listen on.
    let token = pay.path("token");
    pay.write("token", "t\n", 0o600);
    let mut plan = SiteConfig::with_endpoints(&[("p", "a", pay.server.address)]);
    plan.partner = format!("speaks = \"http\"\npath = \"/\"\n[partner.p.proof]\nsecret-file = {token:?}\n");
    let plain = SiteProcess::start(&plan);
    let far =
        ControlCommand::Add { partner: "p".into(), endpoint: "far".into(), address: "192.0.2.7:80".into() };
    assert!(plain.request(far).unwrap_err().to_string().contains("in plain text"));
    plan.endpoints[0].2 = "192.0.2.7:80".parse().unwrap();
    let other = SiteProcess::prepared(&plan);
    let told = other.run_command(&["check", other.site_file().to_str().unwrap()]);
    assert!(String::from_utf8_lossy(&told.stderr).contains("partner.p.tls: is missing"));
}

/// A partner is tried step by step, without a message unless that is asked for, and without showing a secret.
#[test]
fn a_partner_is_tried_before_it_is_relied_on() {
    let pay = Pay::start(sound);
    pay.write("token", "hidden-token\n", 0o600);
    let (roots, token) = (pay.path("roots.pem"), pay.path("token"));
    let mut plan = SiteConfig::with_endpoints(&[("p", "a", pay.front.address)]);
    plan.partner = format!(
        "speaks = \"http\"\npath = \"/v1/{{class}}/{{id}}\"\n[partner.p.proof]\nsecret-file = {token:?}\n\
         [partner.p.tls]\nserver-name = \"{NAME}\"\nroots = {roots:?}\n"
    );
    let site = SiteProcess::prepared(&plan);
    let tried = |more: &[&str]| {
        let file = site.site_file().display().to_string();
        let output = site.run_command(
            &[&["partner", "try", "p", "--site", &file, "--class", "fee", "--id", "t1"], more].concat(),
        );
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    };
    let (code, text) = tried(&[]);
    assert_eq!(code, Some(0), "{text}");
    for part in
        ["POST /v1/fee/t1", "authorization: (secret)", "TLSv1_3", "CN=pay.example", "nothing was sent"]
    {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert!(!text.contains("hidden") && pay.server.seen().is_empty(), "{text}");
    pay.server.behave(|_| Reply::Status(429, "Retry-After: 2.5\r\n"));
    let (code, text) = tried(&["--send"]);
    assert!(code == Some(0) && text.contains("429") && text.contains("wait        2.500 s"), "{text}");
    let seen = pay.server.seen();
    assert_eq!((seen.len(), seen[0].headers["authorization"].as_str()), (1, "Bearer hidden-token"));
    pay.front.change(Authority::server(&pay.authority.issue(&[NAME.into()], (2020, 2021)), None));
    let (code, text) = tried(&["--send"]);
    assert!(code == Some(1) && text.contains("has expired"), "{text}");
    assert_eq!(pay.server.seen().len(), 1, "nothing is sent where the chain is not sound");
    let (code, text) = tried(&["--endpoint", "b"]);
    assert!(code == Some(2) && text.contains("no such endpoint"), "{text}");
}
