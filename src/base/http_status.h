#pragma once

namespace jaymast {

// HTTP status codes that entries, runners and the platform answer with.
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusAccepted = 202;
inline constexpr int kStatusNoContent = 204;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusForbidden = 403;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusPayloadTooLarge = 413;
inline constexpr int kStatusUnprocessable = 422;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

}  // namespace jaymast
