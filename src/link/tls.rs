//! The fleet key: a certificate authority, a certificate for processes and one for operators.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::sync::Arc;

use eyre::{WrapErr, ensure, eyre};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair};
use rustls::RootCertStore;
use rustls::client::verify_server_name;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};

use super::permit::PeerKind;

/// The name in the certificate of every process.
pub const SERVER_NAME: &str = "dotterelpin";
/// The name in the certificate of operators.
const OPERATOR_NAME: &str = "operator.dotterelpin";
/// The ALPN protocol name with its version; both sides of a handshake must use the same.
const PROTOCOL: &[u8] = b"dotterelpin/1";

const AUTHORITY_FILE: &str = "ca.pem";
const PROCESS_FILES: [&str; 2] = ["process.pem", "process.key"];
const OPERATOR_FILES: [&str; 2] = ["operator.pem", "operator.key"];
/// Random bytes in a credential.
const CREDENTIAL_BYTES: usize = 24;
/// File mode of private keys: only the owner may read them.
const KEY_MODE: u32 = 0o600;
/// File mode of certificates: everybody may read them.
const CERTIFICATE_MODE: u32 = 0o644;

/// Creates a fleet key in a folder that has none yet.
pub fn make_keys(folder: &Path) -> eyre::Result<()> {
    if folder.join(AUTHORITY_FILE).exists() {
        return Err(eyre!("{} already holds a fleet key", folder.display()));
    }
    std::fs::create_dir_all(folder)
        .wrap_err_with(|| format!("create folder {}", folder.display()))?;
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.distinguished_name.push(DnType::CommonName, "dotterelpin fleet");
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    write(&folder.join(AUTHORITY_FILE), &authority.pem(), CERTIFICATE_MODE)?;
    for (name, [certificate_file, key_file]) in
        [(SERVER_NAME, PROCESS_FILES), (OPERATOR_NAME, OPERATOR_FILES)]
    {
        let key = KeyPair::generate()?;
        let certificate =
            CertificateParams::new(vec![name.to_string()])?.signed_by(&key, &authority)?;
        write(&folder.join(certificate_file), &certificate.pem(), CERTIFICATE_MODE)?;
        write(&folder.join(key_file), &key.serialize_pem(), KEY_MODE)?;
    }
    Ok(())
}

fn write(path: &Path, text: &str, mode: u32) -> eyre::Result<()> {
    OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path)
        .and_then(|mut f| f.write_all(text.as_bytes()))
        .wrap_err_with(|| format!("write {}", path.display()))
}

/// Returns a new credential of random bytes in hexadecimal.
pub fn random_credential() -> eyre::Result<String> {
    let mut bytes = [0; CREDENTIAL_BYTES];
    rustls::crypto::ring::default_provider()
        .secure_random
        .fill(&mut bytes)
        .map_err(|_| eyre!("the system's random number generator failed"))?;
    Ok(bytes.iter().map(|b| format!("{b:02x}")).collect())
}

/// Returns the kind of a connection's peer by the name in its certificate, or None if the name is
/// unknown.
pub fn peer_kind(connection: &quinn::Connection) -> Option<PeerKind> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast_ref::<Vec<CertificateDer<'static>>>()?;
    let certificate = ParsedCertificate::try_from(chain.first()?).ok()?;
    let has_name = |name: &'static str| {
        ServerName::try_from(name).is_ok_and(|n| verify_server_name(&certificate, &n).is_ok())
    };
    if has_name(SERVER_NAME) {
        return Some(PeerKind::Process);
    }
    has_name(OPERATOR_NAME).then_some(PeerKind::Operator)
}

/// The certificate and key of this process or operator, and the authorities that it trusts.
pub struct Identity {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Reads the process certificate from the folder of the fleet key.
    pub fn load(folder: &Path) -> eyre::Result<Identity> {
        Identity::read(folder, PROCESS_FILES)
    }

    /// Reads the operator certificate from the folder of the fleet key.
    pub fn load_operator(folder: &Path) -> eyre::Result<Identity> {
        Identity::read(folder, OPERATOR_FILES)
    }

    fn read(folder: &Path, [certificate_file, key_file]: [&str; 2]) -> eyre::Result<Identity> {
        let read = |name: &str| -> eyre::Result<Vec<u8>> {
            let path = folder.join(name);
            std::fs::read(&path).wrap_err_with(|| format!("read fleet key {}", path.display()))
        };
        let mut roots = RootCertStore::empty();
        // While a fleet key is being replaced, the file holds the old and the new authority.
        for authority in CertificateDer::pem_slice_iter(&read(AUTHORITY_FILE)?) {
            let authority = authority.map_err(|e| eyre!("parse {AUTHORITY_FILE}: {e}"))?;
            roots.add(authority).wrap_err("trust the authority")?;
        }
        ensure!(
            !roots.is_empty(),
            "no certificate found in {}",
            folder.join(AUTHORITY_FILE).display()
        );
        let certificate = CertificateDer::from_pem_slice(&read(certificate_file)?)
            .map_err(|e| eyre!("parse {certificate_file}: {e}"))?;
        let key = PrivateKeyDer::from_pem_slice(&read(key_file)?)
            .map_err(|e| eyre!("parse {key_file}: {e}"))?;
        Ok(Identity { roots: Arc::new(roots), chain: vec![certificate], key })
    }

    /// Returns the configuration for connections that peers open.
    pub fn server_config(&self) -> eyre::Result<quinn::ServerConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()
                .wrap_err("create client verifier")?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .wrap_err("use the process certificate")?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(config)?)))
    }

    /// Returns the configuration for connections that this process opens.
    pub fn client_config(&self) -> eyre::Result<quinn::ClientConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .wrap_err("use the process certificate")?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(config)?)))
    }
}
