//! In-memory handshakes, with a certificate authority of their own.

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

    /// Issues a certificate and its key, valid between January 1 of two years.
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

fn settings(pins: Vec<Pin>, require_tls13: bool) -> TlsSettings {
    TlsSettings { server_name: TlsSettings::parse_server_name("pay.example").unwrap(), pins, require_tls13 }
}

/// Performs a handshake without a socket. Returns the client connection, or why the client aborted.
fn handshake(config: &Arc<ClientConfig>, server: &Arc<ServerConfig>) -> Result<ClientConnection, String> {
    let name = TlsSettings::parse_server_name("pay.example").unwrap();
    let mut client = ClientConnection::new(config.clone(), name).unwrap();
    let mut server = ServerConnection::new(server.clone()).unwrap();
    for _ in 0..20 {
        let mut bytes = Vec::new();
        while client.wants_write() {
            client.write_tls(&mut bytes).unwrap();
        }
        server.read_tls(&mut bytes.as_slice()).unwrap();
        // The client's reason comes first: the server only sees its alert.
        let server_result = server.process_new_packets();
        let mut bytes = Vec::new();
        while server.wants_write() {
            server.write_tls(&mut bytes).unwrap();
        }
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            client.read_tls(&mut rest).unwrap();
            client.process_new_packets().map_err(|e| describe_error(&e))?;
        }
        server_result.map_err(|e| e.to_string())?;
    }
    if client.is_handshaking() {
        return Err("the handshake does not end".into());
    }
    Ok(client)
}

fn outcome(issued: &(rcgen::Certificate, KeyPair), pins: Vec<Pin>, authority: &Authority) -> String {
    let files = PemFiles { roots: Some(authority.pem.clone().into_bytes()), client: None };
    let config = client_config(&settings(pins, false), &files).unwrap();
    match handshake(&config, &Arc::new(server(issued, DEFAULT_VERSIONS))) {
        Ok(_) => "ok".into(),
        Err(cause) => cause,
    }
}

#[test]
fn certificate_errors_are_described() {
    let (own, other) = (Authority::new("own"), Authority::new("other"));
    let valid = own.issue("pay.example", 2020, 2090);
    assert_eq!(outcome(&valid, vec![], &own), "ok");
    assert!(outcome(&own.issue("pay.example", 2020, 2021), vec![], &own).contains("has expired"));
    assert!(outcome(&own.issue("pay.example", 2080, 2090), vec![], &own).contains("not valid yet"));
    assert!(outcome(&own.issue("school.example", 2020, 2090), vec![], &own).contains("another name"));
    assert!(outcome(&other.issue("pay.example", 2020, 2090), vec![], &own).contains("not trusted here"));
    let pin = Pin::of(valid.0.der()).unwrap();
    assert_eq!(Pin::parse(&pin.to_string()), Ok(pin));
    assert_eq!(outcome(&valid, vec![pin], &own), "ok");
    // Another key for the same name by the same issuer: only the pin detects it.
    let again = own.issue("pay.example", 2020, 2090);
    assert!(outcome(&again, vec![pin], &own).contains("none of those that are pinned"));
    assert_eq!(
        outcome(&again, vec![pin, Pin::of(again.0.der()).unwrap()], &own),
        "ok",
        "two pins during a rotation"
    );
    // A pin does not replace verification of the chain.
    let foreign = other.issue("pay.example", 2020, 2090);
    assert!(outcome(&foreign, vec![Pin::of(foreign.0.der()).unwrap()], &own).contains("not trusted here"));
}

#[test]
fn the_tls_version_is_enforced_and_sessions_resume_without_early_data() {
    let own = Authority::new("own");
    let issued = own.issue("pay.example", 2020, 2090);
    let files = PemFiles { roots: Some(own.pem.clone().into_bytes()), client: None };
    let (any_version, tls13_only) = (
        client_config(&settings(vec![], false), &files).unwrap(),
        client_config(&settings(vec![], true), &files).unwrap(),
    );
    let old = Arc::new(server(&issued, &[&rustls::version::TLS12]));
    assert!(handshake(&any_version, &old).is_ok());
    assert!(handshake(&tls13_only, &old).is_err_and(|message| message.starts_with("TLS: ")));
    let new = Arc::new(server(&issued, DEFAULT_VERSIONS));
    let kind = |c: ClientConnection| format!("{:?}", c.handshake_kind().unwrap());
    assert_eq!(kind(handshake(&tls13_only, &new).unwrap()), "Full");
    assert_eq!(kind(handshake(&tls13_only, &new).unwrap()), "Resumed");
    assert!(!tls13_only.enable_early_data);
}

#[test]
fn errors_about_files_do_not_quote_them() {
    let own = Authority::new("own");
    let (certificate, key) = own.issue("client", 2020, 2090);
    let (_, other) = own.issue("client", 2020, 2090);
    let roots = || Some(own.pem.clone().into_bytes());
    let error = |files: PemFiles| client_config(&settings(vec![], false), &files).err().unwrap_or_default();
    let client = |key: String| PemFiles {
        roots: roots(),
        client: Some((certificate.pem().into_bytes(), key.into_bytes())),
    };
    assert_eq!(error(client(key.serialize_pem())), "");
    assert!(error(client(other.serialize_pem())).contains("don't go together"));
    let message = error(client("hidden".into()));
    assert!(message.contains("client-key") && !message.contains("hidden"), "{message}");
    assert!(
        error(PemFiles { roots: Some(b"hidden".to_vec()), client: None }).contains("holds no certificate")
    );
    let infos = certificate::parse_pem(certificate.pem().as_bytes()).unwrap();
    assert!(infos.len() == 1 && infos[0].not_after > 3_700_000_000 && infos[0].subject.contains("rcgen"));
    for wrong in ["", "sha256/", "sha256/AAAA", "md5/AAAA"] {
        assert!(Pin::parse(wrong).is_err(), "{wrong}");
    }
}

proptest! {
    #[test]
    fn any_input_is_parsed_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200), text in ".{0,60}") {
        let _ = (certificate::parse_pem(&bytes), Pin::parse(&text), TlsSettings::parse_server_name(&text));
        let wrapped = format!("-----BEGIN CERTIFICATE-----\n{}\n-----END CERTIFICATE-----\n", STANDARD.encode(&bytes));
        let _ = certificate::parse_pem(wrapped.as_bytes());
        let _ = client_config(&settings(vec![], false), &PemFiles { roots: Some(wrapped.into_bytes()), client: None });
    }
}
