//! TLS configurations from the certificate and key files named in a process file.

use std::path::Path;
use std::sync::Arc;

use rustls::{ClientConfig, RootCertStore, ServerConfig};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use stairward_settings::process::TlsFiles;

use super::error::{CertificateSnafu, NodeError};

/// The configuration of a listener; none without files.
pub(super) fn server_config(
    files: Option<&TlsFiles>,
) -> Result<Option<Arc<ServerConfig>>, NodeError> {
    let Some(files) = files else {
        return Ok(None);
    };
    let certificates = read_certificates(&files.certificate_file)?;
    let key = PrivateKeyDer::from_pem_file(&files.key_file)
        .map_err(|error| certificate_error(&files.key_file, &error))?;
    let config = ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .map_err(|error| certificate_error(&files.certificate_file, &error))?
        .with_no_client_auth()
        .with_single_cert(certificates, key)
        .map_err(|error| certificate_error(&files.certificate_file, &error))?;
    Ok(Some(Arc::new(config)))
}

/// The configuration for connections to back ends whose certificates are signed by the given roots;
/// none without a file.
pub(super) fn client_config(roots: Option<&Path>) -> Result<Option<Arc<ClientConfig>>, NodeError> {
    let Some(path) = roots else {
        return Ok(None);
    };
    let mut store = RootCertStore::empty();
    for certificate in read_certificates(path)? {
        store
            .add(certificate)
            .map_err(|error| certificate_error(path, &error))?;
    }
    let config = ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .map_err(|error| certificate_error(path, &error))?
        .with_root_certificates(store)
        .with_no_client_auth();
    Ok(Some(Arc::new(config)))
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, NodeError> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| certificate_error(path, &error))
}

fn certificate_error(path: &Path, error: &dyn std::fmt::Display) -> NodeError {
    CertificateSnafu {
        path,
        reason: error.to_string(),
    }
    .build()
}
