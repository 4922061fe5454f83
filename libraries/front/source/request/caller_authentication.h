#pragma once

#include <string>
#include <vector>

#include "switchsaddle/configuration/view.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::front {

/**
 * @return the hash of the secret in a request's Authorization header.
 * @throws base::Error with MissingKey if there is no bearer token.
 */
std::string secretHash(const http::Request& request);

/**
 * @return the tenant that owns the request's key.
 * @throws base::Error with MissingKey or UnknownKey.
 */
const configuration::Tenant& authenticateTenant(const configuration::View& view,
                                                const http::Request& request);

/**
 * Checks that the request carries an operator's key.
 * @param bootstrap_hashes hashes of the operators' keys from the settings. They are in force in
 * addition to those of the configuration.
 * @throws base::Error with MissingKey, UnknownKey, or NotAnOperator if it is a tenant's key.
 */
void authenticateOperator(const configuration::View& view,
                          const std::vector<std::string>& bootstrap_hashes,
                          const http::Request& request);

}  // namespace switchsaddle::front
