/** A stand-in of a plain service. */
package org.mangowall.standin.plain;
