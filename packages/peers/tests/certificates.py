"""Creates TLS certificates for tests."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from poplarwick_core import tls

LIFETIME = datetime.timedelta(days=1)


class Authority:
    """A certificate authority that signs certificates for 127.0.0.1."""

    def __init__(self, name):
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name(
            [x509.NameAttribute(oid.NameOID.COMMON_NAME, name)]
        )
        self.certificate = _sign(
            self.name, self.key.public_key(), self, is_authority=True
        )

    def issue(self, folder, name):
        """Writes a new key and certificate and returns their files."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
        certificate = _sign(subject, key.public_key(), self)
        folder.mkdir(exist_ok=True)
        files = tls.CertificateFiles(
            folder / "certificate.pem",
            folder / "key.pem",
            folder / "authority.pem",
        )
        files.certificate.write_bytes(_encode(certificate))
        files.authority.write_bytes(_encode(self.certificate))
        files.key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return files


def _sign(subject, public_key, authority, is_authority=False):
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(authority.name)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - LIFETIME)
        .not_valid_after(now + LIFETIME)
        .add_extension(x509.BasicConstraints(is_authority, None), True)
        .add_extension(x509.SubjectAlternativeName([address]), False)
    )
    return builder.sign(authority.key, hashes.SHA256())


def _encode(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
