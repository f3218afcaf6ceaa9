/* format.h: constants of the wire format, for encode.c and decode.c only. */
#ifndef PEER_FORMAT_H
#define PEER_FORMAT_H

#define FORMAT_VERSION 1 /* of a frame */
/* Fractions are sent in thousandths. */
#define FORMAT_THOUSAND 1000.0

#endif
