//! The fleet key: one authority, one certificate for processes and one for operators.

use std::path::Path;
use std::sync::Arc;

use eyre::{WrapErr, eyre};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;

/// The name in the certificate of every process.
pub const SERVER_NAME: &str = "dotterelpin";
/// The protocol with its version, which both sides of a handshake must share.
const PROTOCOL: &[u8] = b"dotterelpin/1";

const AUTHORITY_FILE: &str = "ca.pem";
const CERTIFICATE_FILE: &str = "process.pem";
const KEY_FILE: &str = "process.key";

/// Makes a fleet key in a folder that has none yet.
pub fn make_keys(folder: &Path) -> eyre::Result<()> {
    if folder.join(AUTHORITY_FILE).exists() {
        return Err(eyre!("{} holds a fleet key already", folder.display()));
    }
    std::fs::create_dir_all(folder).wrap_err_with(|| format!("make {}", folder.display()))?;
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.distinguished_name.push(DnType::CommonName, "dotterelpin fleet");
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    let key = KeyPair::generate()?;
    let certificate =
        CertificateParams::new(vec![SERVER_NAME.to_string()])?.signed_by(&key, &authority)?;
    write(&folder.join(AUTHORITY_FILE), &authority.pem())?;
    write(&folder.join(CERTIFICATE_FILE), &certificate.pem())?;
    write(&folder.join(KEY_FILE), &key.serialize_pem())
}

fn write(path: &Path, text: &str) -> eyre::Result<()> {
    std::fs::write(path, text).wrap_err_with(|| format!("write {}", path.display()))
}

/// The certificate of this process and the authority that it trusts.
pub struct Identity {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Reads the fleet key from its folder.
    pub fn load(folder: &Path) -> eyre::Result<Identity> {
        let read = |name: &str| -> eyre::Result<Vec<u8>> {
            let path = folder.join(name);
            std::fs::read(&path).wrap_err_with(|| format!("read fleet key {}", path.display()))
        };
        let mut roots = RootCertStore::empty();
        let authority = CertificateDer::from_pem_slice(&read(AUTHORITY_FILE)?)
            .map_err(|e| eyre!("parse {AUTHORITY_FILE}: {e}"))?;
        roots.add(authority).wrap_err("trust the authority")?;
        let certificate = CertificateDer::from_pem_slice(&read(CERTIFICATE_FILE)?)
            .map_err(|e| eyre!("parse {CERTIFICATE_FILE}: {e}"))?;
        let key = PrivateKeyDer::from_pem_slice(&read(KEY_FILE)?)
            .map_err(|e| eyre!("parse {KEY_FILE}: {e}"))?;
        Ok(Identity { roots: Arc::new(roots), chain: vec![certificate], key })
    }

    /// Makes the settings for connections that peers open.
    pub fn server(&self) -> eyre::Result<quinn::ServerConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()
                .wrap_err("make client verifier")?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .wrap_err("use the process certificate")?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(config)?)))
    }

    /// Makes the settings for connections that this process opens.
    pub fn client(&self) -> eyre::Result<quinn::ClientConfig> {
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
