//! Handshakes in memory, with an authority of the test's own.

use super::*;
use proptest::prelude::*;
use rcgen::{date_time_ymd, CertificateParams, Issuer, KeyPair};
use rustls::pki_types::PrivatePkcs8KeyDer;
use rustls::{ClientConnection, ServerConfig, ServerConnection};

struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl Authority {
    fn new(name: &str) -> Authority {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.distinguished_name.push(rcgen::DnType::CommonName, name);
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).unwrap().pem();
        Authority { issuer: Issuer::new(params, key), pem }
    }

    /// A certificate and its key, valid in these years.
    fn issue(&self, name: &str, from: i32, to: i32) -> (rcgen::Certificate, KeyPair) {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(vec![name.to_string()]).unwrap();
        (params.not_before, params.not_after) = (date_time_ymd(from, 1, 1), date_time_ymd(to, 1, 1));
        (params.signed_by(&key, &self.issuer).unwrap(), key)
    }
}

fn server(
    of: &(rcgen::Certificate, KeyPair), versions: &[&'static SupportedProtocolVersion],
) -> ServerConfig {
    let key = PrivatePkcs8KeyDer::from(of.1.serialize_der());
    ServerConfig::builder_with_provider(Arc::new(provider()))
        .with_protocol_versions(versions)
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(vec![of.0.der().clone()], key.into())
        .unwrap()
}

fn plan(pins: Vec<Pin>, require_tls13: bool) -> TlsSettings {
    TlsSettings { server_name: TlsSettings::parse_server_name("pay.example").unwrap(), pins, require_tls13 }
}

/// A handshake without a socket. The bytes that either side wrote, or why the client broke it off.
fn shake(config: &Arc<ClientConfig>, server: &Arc<ServerConfig>) -> Result<ClientConnection, String> {
    let name = TlsSettings::parse_server_name("pay.example").unwrap();
    let mut client = ClientConnection::new(config.clone(), name).unwrap();
    let mut server = ServerConnection::new(server.clone()).unwrap();
    for _ in 0..20 {
        let mut bytes = Vec::new();
        while client.wants_write() {
            client.write_tls(&mut bytes).unwrap();
        }
        server.read_tls(&mut bytes.as_slice()).unwrap();
        // The client's reason counts: the server only hears of it.
        let told = server.process_new_packets();
        let mut bytes = Vec::new();
        while server.wants_write() {
            server.write_tls(&mut bytes).unwrap();
        }
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            client.read_tls(&mut rest).unwrap();
            client.process_new_packets().map_err(|e| describe_error(&e))?;
        }
        told.map_err(|e| e.to_string())?;
    }
    if client.is_handshaking() {
        return Err("no end".into());
    }
    Ok(client)
}

fn outcome(issued: &(rcgen::Certificate, KeyPair), pins: Vec<Pin>, authority: &Authority) -> String {
    let texts = PemFiles { roots: Some(authority.pem.clone().into_bytes()), client: None };
    let config = configuration(&plan(pins, false), &texts).unwrap();
    match shake(&config, &Arc::new(server(issued, DEFAULT_VERSIONS))) {
        Ok(_) => "ok".into(),
        Err(cause) => cause,
    }
}

#[test]
fn what_is_wrong_with_a_certificate_has_a_name() {
    let (own, other) = (Authority::new("own"), Authority::new("other"));
    let sound = own.issue("pay.example", 2020, 2090);
    assert_eq!(outcome(&sound, vec![], &own), "ok");
    assert!(outcome(&own.issue("pay.example", 2020, 2021), vec![], &own).contains("has expired"));
    assert!(outcome(&own.issue("pay.example", 2080, 2090), vec![], &own).contains("not valid yet"));
    assert!(outcome(&own.issue("school.example", 2020, 2090), vec![], &own).contains("another name"));
    assert!(outcome(&other.issue("pay.example", 2020, 2090), vec![], &own).contains("not trusted here"));
    let pin = Pin::of(sound.0.der()).unwrap();
    assert_eq!(Pin::parse(&pin.to_string()), Ok(pin));
    assert_eq!(outcome(&sound, vec![pin], &own), "ok");
    // Another key for the same name, by the same issuer: only the pin tells.
    let again = own.issue("pay.example", 2020, 2090);
    assert!(outcome(&again, vec![pin], &own).contains("none of those that are pinned"));
    assert_eq!(
        outcome(&again, vec![pin, Pin::of(again.0.der()).unwrap()], &own),
        "ok",
        "two during a change"
    );
    // A pin does not stand for the chain.
    let foreign = other.issue("pay.example", 2020, 2090);
    assert!(outcome(&foreign, vec![Pin::of(foreign.0.der()).unwrap()], &own).contains("not trusted here"));
}

#[test]
fn versions_are_held_to_and_sessions_are_resumed_without_early_data() {
    let own = Authority::new("own");
    let issued = own.issue("pay.example", 2020, 2090);
    let texts = PemFiles { roots: Some(own.pem.clone().into_bytes()), client: None };
    let (any, strict) = (
        configuration(&plan(vec![], false), &texts).unwrap(),
        configuration(&plan(vec![], true), &texts).unwrap(),
    );
    let old = Arc::new(server(&issued, &[&rustls::version::TLS12]));
    assert!(shake(&any, &old).is_ok());
    assert!(shake(&strict, &old).is_err_and(|told| told.starts_with("TLS: ")));
    let new = Arc::new(server(&issued, DEFAULT_VERSIONS));
    let kind = |c: ClientConnection| format!("{:?}", c.handshake_kind().unwrap());
    assert_eq!(kind(shake(&strict, &new).unwrap()), "Full");
    assert_eq!(kind(shake(&strict, &new).unwrap()), "Resumed");
    assert!(!strict.enable_early_data);
}

#[test]
fn texts_that_cannot_be_used_are_told_without_showing_them() {
    let own = Authority::new("own");
    let (certificate, key) = own.issue("client", 2020, 2090);
    let (_, other) = own.issue("client", 2020, 2090);
    let roots = || Some(own.pem.clone().into_bytes());
    let made = |texts: PemFiles| configuration(&plan(vec![], false), &texts).err().unwrap_or_default();
    let client = |key: String| PemFiles {
        roots: roots(),
        client: Some((certificate.pem().into_bytes(), key.into_bytes())),
    };
    assert_eq!(made(client(key.serialize_pem())), "");
    assert!(made(client(other.serialize_pem())).contains("don't go together"));
    let told = made(client("hidden".into()));
    assert!(told.contains("client-key") && !told.contains("hidden"), "{told}");
    assert!(made(PemFiles { roots: Some(b"hidden".to_vec()), client: None }).contains("holds no certificate"));
    let facts = certificate::parse_pem(certificate.pem().as_bytes()).unwrap();
    assert!(facts.len() == 1 && facts[0].not_after > 3_700_000_000 && facts[0].subject.contains("rcgen"));
    for wrong in ["", "sha256/", "sha256/AAAA", "md5/AAAA"] {
        assert!(Pin::parse(wrong).is_err(), "{wrong}");
    }
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200), text in ".{0,60}") {
        let _ = (certificate::parse_pem(&bytes), Pin::parse(&text), TlsSettings::parse_server_name(&text));
        let wrapped = format!("-----BEGIN CERTIFICATE-----\n{}\n-----END CERTIFICATE-----\n", STANDARD.encode(&bytes));
        let _ = certificate::parse_pem(wrapped.as_bytes());
        let _ = configuration(&plan(vec![], false), &PemFiles { roots: Some(wrapped.into_bytes()), client: None });
    }
}
